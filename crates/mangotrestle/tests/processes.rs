//! Tests that kill entry hosts, run as real processes against stand-ins, while they work.

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
const LEASE_TERM_MS: u64 = 2_000;
/// Maximum number of polls for a condition. It only keeps a failing test from hanging; how soon the
/// condition must hold is not tested.
const MAX_POLLS: u32 = 1_200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Entry hosts as processes, with the stand-ins of the platform and of the workers.
struct TestCell {
    platform: cell::Platform,
    workers: worker::WorkerFleet,
    processes: Vec<process::EntryProcess>,
}

impl TestCell {
    async fn start(entry_hosts: u32) -> Self {
        let platform = cell::Platform::start().await.unwrap();
        let workers = worker::WorkerFleet::builder()
            .term(time::SpanMs(LEASE_TERM_MS))
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
        let mut test_cell = Self {
            platform,
            workers,
            processes: Vec::new(),
        };
        for number in 0..entry_hosts {
            test_cell.start_process(&format!("remera-{number}"));
        }
        test_cell
    }

    fn start_process(&mut self, name: &str) {
        let process = process::EntryProcess::builder(name, ZONE, &self.platform)
            .option("--lease-term-ms", &LEASE_TERM_MS.to_string())
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

    /// Waits until the pool has a leader, and returns the index of its process.
    async fn leader_index(&self) -> usize {
        let mut operator = self.operator();
        let leader = poll_until("the pool is led", async || {
            let status = operator.get_status(None).await.ok()?;
            status.pools.first()?.leader.clone()
        })
        .await;
        let is_leader = |process: &process::EntryProcess| process.name() == leader.as_str();
        self.processes.iter().position(is_leader).unwrap()
    }

    /// Kills a process and removes it from the host list.
    fn kill(&mut self, index: usize) {
        let mut process = self.processes.remove(index);
        process.kill();
        self.platform.hosts.service().remove(process.name());
    }

    /// Submits a job, and sends it again until it is accepted.
    async fn submit(&self, spec: &job::JobSpec) {
        let command = message::Command {
            id: id::CommandId::new(&format!("submit-{}", spec.id)).unwrap(),
            operator: "kigali".to_owned(),
            based_on: None,
        };
        let mut operator = self.operator();
        let accepted = poll_until("the job is accepted", async || {
            let outcome = operator.submit_job(&command, spec).await.ok()?;
            (outcome.code == mangotrestle_core::result_code::ResultCode::Ok).then_some(())
        });
        accepted.await;
    }

    /// Waits until a job has settled, and returns its summary.
    async fn wait_until_settled(&self, spec: &job::JobSpec) -> message::JobSummary {
        let mut operator = self.operator();
        poll_until("the job is settled", async || {
            let detail = operator.get_job(&spec.id).await.ok()?;
            detail.summary.state.is_settled().then_some(detail.summary)
        })
        .await
    }
}

/// Polls until `poll` returns a value, and returns that.
async fn poll_until<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    for _ in 0..MAX_POLLS {
        if let Some(found) = poll().await {
            return found;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("condition does not hold after {MAX_POLLS} polls: {what}");
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
    let mut test_cell = TestCell::start(3).await;
    let leader = test_cell.leader_index().await;
    let gang = job("partial-discharge", job::JobKind::Gang, 6);
    let batch = job("furan", job::JobKind::Batch, 30);
    let mut certificates = job("certificates", job::JobKind::Batch, 10);
    certificates.idempotent = false;

    test_cell.submit(&batch).await;
    test_cell.submit(&certificates).await;
    test_cell.submit(&gang).await;
    test_cell.kill(leader);
    let gang = test_cell.wait_until_settled(&gang).await;
    let batch = test_cell.wait_until_settled(&batch).await;
    let certificates = test_cell.wait_until_settled(&certificates).await;

    let breaches = test_cell.workers.breaches();
    assert_eq!(breaches.total(), 0, "{breaches:?}");
    assert_eq!(gang.state, message::JobState::Succeeded);
    assert_eq!(batch.state, message::JobState::Succeeded);
    assert_eq!(certificates.succeeded + certificates.unknown, 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entry_hosts_of_a_zone_replaced_at_once_lose_no_accepted_job() {
    let mut test_cell = TestCell::start(2).await;
    test_cell.leader_index().await;
    let batch = job("furan", job::JobKind::Batch, 20);

    test_cell.submit(&batch).await;
    test_cell.kill(1);
    test_cell.kill(0);
    test_cell.start_process("remera-new-0");
    test_cell.start_process("remera-new-1");
    let batch = test_cell.wait_until_settled(&batch).await;

    let breaches = test_cell.workers.breaches();
    assert_eq!(breaches.total(), 0, "{breaches:?}");
    assert_eq!(batch.succeeded, 20);
}
