//! Entry hosts as real processes against stand-ins: killed in the middle of their work.

use std::path::Path;
use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::resources;
use mangotrestle_core::time;
use mangotrestle_dev::cell;
use mangotrestle_dev::process;
use mangotrestle_dev::stand_in::worker;
use mangotrestle_operator::client;
use mangotrestle_operator::message;
use mangotrestle_platform::host_list;

const ZONE: &str = "remera";
const TERM_MS: u64 = 2_000;
/// Looks at the cell before a test gives up; a bound against hanging, not a target.
const MOST_LOOKS: u32 = 1_200;
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

struct Hosts {
    platform: cell::Platform,
    workers: worker::WorkerFleet,
    processes: Vec<process::EntryProcess>,
}

impl Hosts {
    async fn start(entry_hosts: u32) -> Self {
        let platform = cell::Platform::start().await.unwrap();
        let workers = worker::WorkerFleet::builder()
            .term(time::SpanMs(TERM_MS))
            .workers("spectral", 5, capacity())
            .start()
            .await
            .unwrap();
        for worker in workers.worker_ids() {
            platform
                .hosts
                .service()
                .put(listed_worker(worker, &workers));
        }
        let mut hosts = Self {
            platform,
            workers,
            processes: Vec::new(),
        };
        for number in 0..entry_hosts {
            hosts.start_process(&format!("remera-{number}"));
        }
        hosts
    }

    fn start_process(&mut self, name: &str) {
        let process = process::EntryProcess::builder(name, ZONE, &self.platform)
            .option("--lease-term-ms", &TERM_MS.to_string())
            .option("--lease-renew-interval-ms", "500")
            .option("--heartbeat-interval-ms", "500")
            .option("--host-list-poll-interval-ms", "300")
            .start(Path::new(env!("CARGO_BIN_EXE_mangotrestle")))
            .unwrap();
        self.platform.hosts.service().put(process.host_list_entry());
        self.processes.push(process);
    }

    fn operator(&self) -> client::OperatorClient {
        let endpoints = self
            .processes
            .iter()
            .map(|process| process.addresses().operators);
        let builder = client::OperatorClient::builder();
        endpoints
            .fold(builder, client::ClientBuilder::endpoint)
            .build()
            .unwrap()
    }

    async fn leader(&self) -> usize {
        let mut operator = self.operator();
        let leader = until("the pool is led", async || {
            let status = operator.get_status(None).await.ok()?;
            status.pools.first()?.leader.clone()
        })
        .await;
        let led_by = |process: &process::EntryProcess| process.name() == leader.as_str();
        self.processes.iter().position(led_by).unwrap()
    }

    fn kill(&mut self, index: usize) {
        let mut process = self.processes.remove(index);
        process.kill();
        self.platform.hosts.service().remove(process.name());
    }

    async fn submit(&self, spec: &job::JobSpec) {
        let command = message::Command {
            id: id::CommandId::new(&format!("submit-{}", spec.id)).unwrap(),
            operator: "kigali".to_owned(),
            based_on: None,
        };
        let mut operator = self.operator();
        let accepted = until("the job is accepted", async || {
            let outcome = operator.submit_job(&command, spec).await.ok()?;
            (outcome.code == mangotrestle_core::result_code::ResultCode::Ok).then_some(())
        });
        accepted.await;
    }

    async fn settled(&self, spec: &job::JobSpec) -> message::JobSummary {
        let mut operator = self.operator();
        until("the job is settled", async || {
            let detail = operator.get_job(&spec.id).await.ok()?;
            detail.summary.state.is_settled().then_some(detail.summary)
        })
        .await
    }
}

async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    for _ in 0..MOST_LOOKS {
        if let Some(found) = look().await {
            return found;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    panic!("looked {MOST_LOOKS} times in vain: {what}");
}

fn capacity() -> resources::Resources {
    resources::Resources {
        cpu_millicores: 64_000,
        memory_mib: 262_144,
        accelerators: 8,
        slots: 8,
    }
}

fn listed_worker(worker: &id::WorkerId, fleet: &worker::WorkerFleet) -> host_list::Host {
    host_list::Host {
        id: worker.to_string(),
        role: host_list::Role::Worker,
        availability_zone: id::AvailabilityZoneId::new(ZONE).unwrap(),
        rack: id::RackId::new("rack").unwrap(),
        address: fleet.lease_address(worker).unwrap(),
        state: host_list::HostState::Live,
    }
}

fn job(name: &str, kind: job::JobKind, tasks: u32) -> job::JobSpec {
    job::JobSpec {
        id: id::JobId::new(name).unwrap(),
        team: id::TeamId::new("spectral").unwrap(),
        pool: id::PoolId::new(ZONE).unwrap(),
        kind,
        urgency: job::Urgency::Normal,
        tasks,
        need: resources::Resources {
            cpu_millicores: 2_000,
            memory_mib: 1_024,
            accelerators: 1,
            slots: 1,
        },
        run_time_ms: Some(time::SpanMs(700)),
        idempotent: true,
        preemptible: false,
        lost_worker: job::LostWorkerPolicy::RestartAfterLapse,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_during_a_gang_start_loses_nothing_and_repeats_nothing() {
    let mut hosts = Hosts::start(3).await;
    let leader = hosts.leader().await;
    let gang = job("partial-discharge", job::JobKind::Gang, 6);
    let batch = job("furan", job::JobKind::Batch, 30);
    let mut certificates = job("certificates", job::JobKind::Batch, 10);
    certificates.idempotent = false;

    hosts.submit(&batch).await;
    hosts.submit(&certificates).await;
    hosts.submit(&gang).await;
    hosts.kill(leader);
    let gang = hosts.settled(&gang).await;
    let batch = hosts.settled(&batch).await;
    let certificates = hosts.settled(&certificates).await;

    let breaches = hosts.workers.breaches();
    assert_eq!(breaches.total(), 0, "{breaches:?}");
    assert_eq!(gang.state, message::JobState::Succeeded);
    assert_eq!(batch.state, message::JobState::Succeeded);
    assert_eq!(certificates.succeeded + certificates.unknown, 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entry_hosts_of_a_zone_replaced_at_once_lose_no_accepted_job() {
    let mut hosts = Hosts::start(2).await;
    hosts.leader().await;
    let batch = job("furan", job::JobKind::Batch, 20);

    hosts.submit(&batch).await;
    hosts.kill(1);
    hosts.kill(0);
    hosts.start_process("remera-new-0");
    hosts.start_process("remera-new-1");
    let batch = hosts.settled(&batch).await;

    let breaches = hosts.workers.breaches();
    assert_eq!(breaches.total(), 0, "{breaches:?}");
    assert_eq!(batch.succeeded, 20);
}
