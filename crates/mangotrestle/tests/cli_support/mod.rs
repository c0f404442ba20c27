//! Fake entry hosts that serve operators through the real server, and helpers that run the binary
//! against them.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard};

use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::resources;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;
use mangotrestle_operator::auth;
use mangotrestle_operator::backend::OperatorBackend;
use mangotrestle_operator::message;
use mangotrestle_operator::server;
use tokio::net;
use tokio::sync::{Notify, mpsc, watch};

/// A valid job file.
pub const JOB_FILE: &str = r#"id = "furan-fit-0412"
team = "spectral"
pool = "gikondo"
kind = "batch"
urgency = "normal"
tasks = 2
run_time_ms = 90_000

[need]
cpu_millicores = 8_000
memory_mib = 16_384
accelerators = 0
slots = 1
"#;

/// State that several fake entry hosts share.
#[derive(Default)]
pub struct State {
    pub jobs: BTreeMap<String, message::JobSummary>,
    /// First answer to each command, by the command's identifier.
    pub answers: BTreeMap<String, message::CommandOutcome>,
    /// All commands received, including resent ones.
    pub commands: Vec<message::Command>,
    pub config_version: u64,
    pub document: String,
    /// Number of commands that took effect.
    pub effects: u32,
}

/// A fake entry host.
#[derive(Default)]
pub struct FakeHost {
    pub state: Arc<Mutex<State>>,
    /// If set, is notified when a job was submitted, and the answer is never sent.
    pub notify_instead_of_answer: Option<Arc<Notify>>,
    /// If set, every command is answered with this outcome and has no effect.
    pub refuses_with: Option<message::CommandOutcome>,
}

impl FakeHost {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Runs the effect of a command once; a resent command gets the first answer.
    fn run_once(
        &self,
        command: message::Command,
        effect: impl FnOnce(&mut State) -> message::CommandOutcome,
    ) -> message::CommandOutcome {
        if let Some(outcome) = &self.refuses_with {
            return outcome.clone();
        }
        let mut state = self.state();
        let key = command.id.to_string();
        state.commands.push(command);
        if let Some(outcome) = state.answers.get(&key) {
            return outcome.clone();
        }
        let outcome = effect(&mut state);
        if outcome.code == ResultCode::Ok {
            state.effects += 1;
        }
        state.answers.insert(key, outcome.clone());
        outcome
    }

    fn change_job(
        &self,
        command: message::Command,
        job: &id::JobId,
        to: message::JobState,
    ) -> message::CommandOutcome {
        self.run_once(command, |state| match state.jobs.get_mut(job.as_str()) {
            None => message::CommandOutcome::refused(
                ResultCode::NotFound,
                &format!("there is no job {job}"),
            ),
            Some(summary) => {
                summary.state = to;
                summary.revision += 1;
                message::CommandOutcome::done(summary.revision, &format!("{job} is {to}"))
            }
        })
    }
}

fn not_found(what: &str) -> message::Refusal {
    message::Refusal::new(ResultCode::NotFound, &format!("there is no {what}"))
}

/// Returns the summary of a waiting job.
pub fn summary(spec: job::JobSpec) -> message::JobSummary {
    message::JobSummary {
        waiting: spec.tasks,
        spec,
        state: message::JobState::Waiting,
        revision: 1,
        running: 0,
        succeeded: 0,
        failed: 0,
        unknown: 0,
    }
}

impl OperatorBackend for FakeHost {
    async fn submit_job(
        &self,
        command: message::Command,
        spec: job::JobSpec,
    ) -> message::CommandOutcome {
        let outcome = self.run_once(command, |state| {
            let message = format!("{} is accepted", spec.id);
            state.jobs.insert(spec.id.to_string(), summary(spec));
            message::CommandOutcome::done(1, &message)
        });
        if let Some(submitted) = &self.notify_instead_of_answer {
            submitted.notify_one();
            std::future::pending::<()>().await;
        }
        outcome
    }

    async fn cancel_job(
        &self,
        command: message::Command,
        job: id::JobId,
    ) -> message::CommandOutcome {
        self.change_job(command, &job, message::JobState::Cancelled)
    }

    async fn retry_job(
        &self,
        command: message::Command,
        job: id::JobId,
    ) -> message::CommandOutcome {
        self.change_job(command, &job, message::JobState::Waiting)
    }

    async fn list_jobs(
        &self,
        filter: message::JobFilter,
    ) -> Result<Vec<message::JobSummary>, message::Refusal> {
        let matches = |job: &&message::JobSummary| {
            filter
                .pool
                .as_ref()
                .is_none_or(|pool| *pool == job.spec.pool)
                && filter
                    .team
                    .as_ref()
                    .is_none_or(|team| *team == job.spec.team)
        };
        Ok(self
            .state()
            .jobs
            .values()
            .filter(matches)
            .cloned()
            .collect())
    }

    async fn get_job(&self, job: id::JobId) -> Result<message::JobDetail, message::Refusal> {
        let summary = self.state().jobs.get(job.as_str()).cloned();
        let summary = summary.ok_or_else(|| not_found(&format!("job {job}")))?;
        let task = message::TaskDetail {
            index: 0,
            attempt: 0,
            state: message::TaskState::Waiting,
            worker: None,
        };
        Ok(message::JobDetail {
            summary,
            tasks: vec![task],
            waiting_reasons: vec!["no worker has 8 cores free".to_owned()],
        })
    }

    async fn list_workers(
        &self,
        _pool: Option<id::PoolId>,
    ) -> Result<Vec<message::WorkerDetail>, message::Refusal> {
        let capacity = resources::Resources {
            cpu_millicores: 64_000,
            memory_mib: 262_144,
            accelerators: 8,
            slots: 8,
        };
        Ok(vec![message::WorkerDetail {
            id: id::WorkerId::new("spectral-3").unwrap(),
            pool: id::PoolId::new("gikondo").unwrap(),
            rack: id::RackId::new("rack-1").unwrap(),
            capacity,
            free: capacity,
            running: 0,
            state: message::WorkerState::Held,
            draining: false,
        }])
    }

    async fn set_worker_drain(
        &self,
        command: message::Command,
        worker: id::WorkerId,
        draining: bool,
    ) -> message::CommandOutcome {
        self.run_once(command, |_| {
            message::CommandOutcome::done(1, &format!("{worker} draining={draining}"))
        })
    }

    async fn get_config(&self) -> Result<message::ConfigDocument, message::Refusal> {
        let state = self.state();
        Ok(message::ConfigDocument {
            version: state.config_version,
            document: state.document.clone(),
            operator: "eleni".to_owned(),
            accepted_wall_ms: time::WallTimeMs(1_764_727_844_017),
        })
    }

    async fn apply_config(
        &self,
        command: message::Command,
        proposal: message::ConfigProposal,
    ) -> message::CommandOutcome {
        let based_on = command.based_on;
        self.run_once(command, |state| {
            let current_version = state.config_version;
            if based_on.is_some_and(|version| version != current_version) {
                let message = format!("the configuration is at version {current_version}");
                return message::CommandOutcome::refused(ResultCode::RevisionConflict, &message)
                    .revision(current_version);
            }
            state.config_version += 1;
            state.document = proposal.document;
            message::CommandOutcome::done(state.config_version, "accepted")
        })
    }

    async fn list_config_history(
        &self,
        _limit: u32,
    ) -> Result<message::ConfigHistory, message::Refusal> {
        Ok(message::ConfigHistory {
            versions: vec![self.get_config().await?],
            hosts: vec![message::HostConfig {
                entry_host: id::EntryHostId::new("gikondo-1").unwrap(),
                version: self.state().config_version,
                in_force_wall_ms: time::WallTimeMs(1_764_727_845_000),
            }],
        })
    }

    async fn get_status(
        &self,
        handover_since: Option<time::WallTimeMs>,
    ) -> Result<message::Status, message::Refusal> {
        let change = message::AuditEntry {
            wall_ms: time::WallTimeMs(1_764_727_844_017),
            operator: "eleni".to_owned(),
            what: "job.cancel furan-7".to_owned(),
            from_revision: 4,
            command_id: id::CommandId::new("cmd-7").unwrap(),
            code: ResultCode::Ok,
        };
        Ok(message::Status {
            entry_host: id::EntryHostId::new("gikondo-1").unwrap(),
            availability_zone: id::AvailabilityZoneId::new("gikondo").unwrap(),
            config_version: self.state().config_version,
            pools: vec![message::PoolStatus {
                pool: id::PoolId::new("gikondo").unwrap(),
                leader: id::EntryHostId::new("gikondo-2").ok(),
                roster_workers: 7,
                held_workers: 7,
                waiting_tasks: 2,
                running_tasks: 11,
                unknown_tasks: 0,
                parked_jobs: 1,
            }],
            peers: vec![message::PeerStatus {
                entry_host: id::EntryHostId::new("gikondo-2").unwrap(),
                state: message::PeerState::Alive,
            }],
            degraded: vec![message::Degradation {
                what: "store".to_owned(),
                since_wall_ms: time::WallTimeMs(1_764_727_840_000),
                detail: "writes time out".to_owned(),
            }],
            changes: handover_since.map(|_| change).into_iter().collect(),
        })
    }

    async fn stream_events(
        &self,
        after_sequence: Option<u64>,
    ) -> Result<mpsc::Receiver<message::Event>, message::Refusal> {
        let (sender, receiver) = mpsc::channel(8);
        let first = after_sequence.unwrap_or(0) + 1;
        for sequence in first..=3 {
            let event = message::Event {
                sequence,
                wall_ms: time::WallTimeMs(1_764_727_844_017),
                kind: "task.started".to_owned(),
                detail: format!("job=furan-7 index={sequence}"),
            };
            sender.send(event).await.unwrap();
        }
        Ok(receiver)
    }
}

/// A running fake entry host.
pub struct Running {
    pub address: SocketAddr,
    pub stop: watch::Sender<bool>,
}

/// Serves a fake entry host without TLS.
pub async fn start(host: FakeHost, authentication: auth::Authentication) -> Running {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, shutdown) = watch::channel(false);
    tokio::spawn(server::OperatorServer::serve(
        listener,
        Arc::new(host),
        authentication,
        shutdown,
    ));
    Running { address, stop }
}

/// Exit code and output of a run of the binary.
#[derive(Debug)]
pub struct Finished {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs the binary with these arguments and an empty environment.
pub async fn run(arguments: &[&str]) -> Finished {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_mangotrestle"))
        .args(arguments)
        .env_clear()
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await
        .unwrap();
    Finished {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the binary against one fake entry host.
pub async fn run_at(running: &Running, arguments: &[&str]) -> Finished {
    let endpoint = running.address.to_string();
    let mut all = vec!["--endpoint", endpoint.as_str()];
    all.extend(arguments);
    run(&all).await
}

/// A directory that is removed after the test.
pub struct Directory(PathBuf);

impl Directory {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("mangotrestle-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, content: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, content).unwrap();
        path.to_str().unwrap().to_owned()
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the text of a documentation page; the path is relative to the root of the repository.
pub fn page(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}
