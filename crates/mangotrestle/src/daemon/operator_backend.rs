//! Serves operators' requests.
//!
//! Commands are written to the table. Queries about a pool are answered by its leader, which is
//! this entry host or a peer.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::configuration;
use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;
use mangotrestle_operator::backend;
use mangotrestle_operator::message;
use mangotrestle_platform::configuration_store;
use mangotrestle_platform::schema;
use mangotrestle_platform::table;
use tokio::sync::mpsc;

use super::commands;
use super::context;
use super::control::event;
use super::query;

/// Delay after which operators are advised to retry while a pool has no leader.
const NO_LEADER_RETRY_DELAY: time::SpanMs = time::SpanMs(1_000);
/// Maximum number of audit log entries in one answer.
const MAX_AUDIT_ROWS: u32 = 1_000;
/// Maximum number of events queued for one operator who follows the events. An operator who falls
/// further behind is disconnected.
const MAX_QUEUED_EVENTS: usize = 1_024;
/// Interval between polls for new events.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Executes operators' commands and answers their queries.
pub(super) struct Backend {
    context: Arc<context::Context>,
    commands: commands::Commands,
}

impl Backend {
    pub(super) fn new(context: Arc<context::Context>) -> Self {
        Self {
            commands: commands::Commands::new(Arc::clone(&context)),
            context,
        }
    }

    /// Notifies the leader of the changed pool, here or at a peer, that its inbox has a new entry.
    /// Returns the outcome of the command.
    async fn notify_leader(&self, executed: commands::Executed) -> message::CommandOutcome {
        let Some(pool) = executed.changed_pool else {
            return executed.outcome;
        };
        self.context
            .report(event::ControlEvent::InboxChanged { pool: pool.clone() });
        if let Some(query::Answer::NotLeader(Some(leader))) = self
            .context
            .query(query::Query::Pool { pool: pool.clone() })
            .await
        {
            tokio::spawn(async move {
                if let Ok(peer) = mangotrestle_peer::PeerClient::new(leader.address) {
                    let notice = mangotrestle_peer::message::InboxNotice { pool };
                    // If the notice is lost, the leader finds the entry at its next inbox poll.
                    let _ = peer.inbox_changed(notice).await;
                }
            });
        }
        executed.outcome
    }

    /// Sends a query to the leader of its pool, here or at a peer.
    async fn query_leader(&self, query: query::Query) -> Result<query::Answer, message::Refusal> {
        let answer = self
            .context
            .query(query.clone())
            .await
            .ok_or_else(stopping)?;
        let query::Answer::NotLeader(leader) = answer else {
            return Ok(answer);
        };
        let leader = leader.ok_or_else(no_leader)?;
        let payload = serde_json::to_value(&query).map_err(|error| internal_error(&error))?;
        let peer = mangotrestle_peer::PeerClient::new(leader.address).map_err(|_| no_leader())?;
        let answered = peer.query(payload).await.map_err(|_| no_leader())?;
        match serde_json::from_value(answered).map_err(|error| internal_error(&error))? {
            query::Answer::NotLeader(_) => Err(no_leader()),
            answer => Ok(answer),
        }
    }

    /// Returns the state of this entry host.
    async fn host_view(&self) -> Result<query::HostView, message::Refusal> {
        match self.context.query(query::Query::Host).await {
            Some(query::Answer::Host(view)) => Ok(*view),
            _ => Err(stopping()),
        }
    }

    async fn jobs_of_pool(
        &self,
        pool: id::PoolId,
        team: Option<id::TeamId>,
    ) -> Result<Vec<message::JobSummary>, message::Refusal> {
        match self.query_leader(query::Query::Jobs { pool, team }).await? {
            query::Answer::Jobs(jobs) => Ok(jobs),
            _ => Err(mismatched_answer()),
        }
    }

    async fn workers_of_pool(
        &self,
        pool: id::PoolId,
    ) -> Result<Vec<message::WorkerDetail>, message::Refusal> {
        match self.query_leader(query::Query::Workers { pool }).await? {
            query::Answer::Workers(workers) => Ok(workers),
            _ => Err(mismatched_answer()),
        }
    }

    /// Returns the status of a pool, with all counts zero if its leader doesn't answer.
    async fn pool_status(&self, view: query::PoolView) -> message::PoolStatus {
        match self
            .query_leader(query::Query::Pool {
                pool: view.pool.clone(),
            })
            .await
        {
            Ok(query::Answer::Pool(status)) => status,
            _ => message::PoolStatus {
                pool: view.pool,
                leader: view.leader,
                roster_workers: 0,
                held_workers: 0,
                waiting_tasks: 0,
                running_tasks: 0,
                unknown_tasks: 0,
                parked_jobs: 0,
            },
        }
    }

    /// Returns the pool whose leader knows a worker.
    async fn pool_of_worker(
        &self,
        worker: &id::WorkerId,
    ) -> Result<Option<id::PoolId>, message::Refusal> {
        for view in self.host_view().await?.pools {
            let workers = self
                .workers_of_pool(view.pool.clone())
                .await
                .unwrap_or_default();
            if workers.iter().any(|detail| detail.id == *worker) {
                return Ok(Some(view.pool));
            }
        }
        Ok(None)
    }

    /// Checks a job against the configuration in force. Returns a refusal if it lists teams and the
    /// job's team is not among them.
    async fn check_team(&self, spec: &job::JobSpec) -> Option<message::CommandOutcome> {
        let (reply, answer) = tokio::sync::oneshot::channel();
        self.context
            .report(event::ControlEvent::ConfigRequested { reply });
        let in_force = answer.await.ok()?;
        let teams = &in_force.document.teams;
        if teams.is_empty() || teams.contains_key(&spec.team) {
            return None;
        }
        let text = format!("team: the configuration has no team {}", spec.team);
        Some(message::CommandOutcome::refused(
            ResultCode::InvalidInput,
            &text,
        ))
    }
}

impl backend::OperatorBackend for Backend {
    async fn submit_job(
        &self,
        command: message::Command,
        spec: job::JobSpec,
    ) -> message::CommandOutcome {
        if let Some(refusal) = self.check_team(&spec).await {
            return refusal;
        }
        let executed = self.commands.submit(&command, spec).await;
        self.notify_leader(executed).await
    }

    async fn cancel_job(
        &self,
        command: message::Command,
        job: id::JobId,
    ) -> message::CommandOutcome {
        let executed = self
            .commands
            .change(&command, &commands::Edit::Cancel { job })
            .await;
        self.notify_leader(executed).await
    }

    async fn retry_job(
        &self,
        command: message::Command,
        job: id::JobId,
    ) -> message::CommandOutcome {
        let executed = self
            .commands
            .change(&command, &commands::Edit::Retry { job })
            .await;
        self.notify_leader(executed).await
    }

    async fn list_jobs(
        &self,
        filter: message::JobFilter,
    ) -> Result<Vec<message::JobSummary>, message::Refusal> {
        if let Some(pool) = filter.pool {
            return self.jobs_of_pool(pool, filter.team).await;
        }
        let mut jobs = Vec::new();
        for view in self.host_view().await?.pools {
            jobs.extend(self.jobs_of_pool(view.pool, filter.team.clone()).await?);
        }
        jobs.sort_by(|a, b| a.spec.id.cmp(&b.spec.id));
        Ok(jobs)
    }

    async fn get_job(&self, job: id::JobId) -> Result<message::JobDetail, message::Refusal> {
        let pool = self
            .commands
            .pool_of_job(&job)
            .await
            .map_err(|error| store_refusal(&error))?;
        let pool = pool.ok_or_else(job_not_found)?;
        let query = query::Query::Job {
            pool,
            job: job.clone(),
        };
        match self.query_leader(query).await? {
            query::Answer::Job(Some(detail)) => Ok(*detail),
            query::Answer::Job(None) => self.job_detail_from_row(&job).await,
            _ => Err(mismatched_answer()),
        }
    }

    async fn list_workers(
        &self,
        pool: Option<id::PoolId>,
    ) -> Result<Vec<message::WorkerDetail>, message::Refusal> {
        if let Some(pool) = pool {
            return self.workers_of_pool(pool).await;
        }
        let mut workers = Vec::new();
        for view in self.host_view().await?.pools {
            workers.extend(self.workers_of_pool(view.pool).await?);
        }
        Ok(workers)
    }

    async fn set_worker_drain(
        &self,
        command: message::Command,
        worker: id::WorkerId,
        draining: bool,
    ) -> message::CommandOutcome {
        let pool = match self.pool_of_worker(&worker).await {
            Ok(Some(pool)) => pool,
            Ok(None) => {
                let text = "no pool that has a leader has a worker with this name";
                return message::CommandOutcome::refused(ResultCode::NotFound, text);
            }
            Err(refusal) => {
                return message::CommandOutcome::refused(refusal.code, &refusal.message);
            }
        };
        let edit = commands::Edit::Drain {
            pool,
            worker,
            draining,
        };
        let executed = self.commands.change(&command, &edit).await;
        self.notify_leader(executed).await
    }

    async fn get_config(&self) -> Result<message::ConfigDocument, message::Refusal> {
        let version = self.host_view().await?.config_version;
        if version == 0 {
            return Ok(message::ConfigDocument {
                version,
                document: String::new(),
                operator: String::new(),
                accepted_wall_ms: time::WallTimeMs(0),
            });
        }
        let configurations = &self.context.platform.configurations;
        let text = configurations
            .text(version)
            .await
            .map_err(|error| internal_error(&error))?;
        let history = configurations.history(1).await.unwrap_or_default();
        let row = history.into_iter().find(|row| row.version == version);
        Ok(config_document(version, text, row.as_ref()))
    }

    async fn apply_config(
        &self,
        command: message::Command,
        proposal: message::ConfigProposal,
    ) -> message::CommandOutcome {
        let document = match parse_document(&proposal.document) {
            Ok(document) => document,
            Err(error) => {
                return message::CommandOutcome::refused(ResultCode::InvalidInput, &error);
            }
        };
        if proposal.dry_run {
            return self.dry_run(&document).await;
        }
        let accepted = self
            .context
            .platform
            .configurations
            .accept(configuration_store::Proposal {
                command: command.id.clone(),
                operator: &command.operator,
                text: &proposal.document,
                document: &document,
                based_on: command.based_on,
                wall_ms: self.context.clock.wall(),
            })
            .await;
        match accepted {
            Ok(answered) => {
                let version = answered.answer.revision;
                self.context
                    .report(event::ControlEvent::ConfigVersionSeen { version });
                commands::recorded_outcome(answered.answer)
            }
            Err(error) => commands::error_outcome(&error),
        }
    }

    async fn list_config_history(
        &self,
        limit: u32,
    ) -> Result<message::ConfigHistory, message::Refusal> {
        let configurations = &self.context.platform.configurations;
        let rows = configurations
            .history(limit)
            .await
            .map_err(|error| store_refusal(&error))?;
        let versions = rows
            .iter()
            .map(|row| config_document(row.version, String::new(), Some(row)));
        Ok(message::ConfigHistory {
            versions: versions.collect(),
            hosts: self.host_view().await?.host_configs,
        })
    }

    async fn get_status(
        &self,
        handover_since: Option<time::WallTimeMs>,
    ) -> Result<message::Status, message::Refusal> {
        let host = self.host_view().await?;
        let mut pools = Vec::new();
        for view in host.pools {
            pools.push(self.pool_status(view).await);
        }
        let changes = match handover_since {
            Some(since) => self.changes_since(since).await?,
            None => Vec::new(),
        };
        Ok(message::Status {
            entry_host: self.context.settings.entry_host.clone(),
            availability_zone: self.context.settings.availability_zone.clone(),
            config_version: host.config_version,
            pools,
            peers: host.peers,
            degraded: host.degraded,
            changes,
        })
    }

    async fn stream_events(
        &self,
        after_sequence: Option<u64>,
    ) -> Result<mpsc::Receiver<message::Event>, message::Refusal> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        tokio::spawn(follow(Arc::clone(&self.context), after_sequence, sender));
        Ok(receiver)
    }
}

impl Backend {
    /// Describes a job that its leader doesn't know, from the stored row: either the leader has not
    /// processed its acceptance yet, or the job ended long ago.
    async fn job_detail_from_row(
        &self,
        job: &id::JobId,
    ) -> Result<message::JobDetail, message::Refusal> {
        let row = self
            .commands
            .job_row(job)
            .await
            .map_err(|error| store_refusal(&error))?;
        let row = row.ok_or_else(job_not_found)?;
        let state = if row.cancelled {
            message::JobState::Cancelled
        } else {
            message::JobState::Waiting
        };
        let waiting = row.spec.tasks;
        let summary = message::JobSummary {
            spec: row.spec,
            state,
            revision: row.revision,
            waiting,
            running: 0,
            succeeded: 0,
            failed: 0,
            unknown: 0,
        };
        let reason = "accepted; the pool's leader has not processed it yet".to_owned();
        Ok(message::JobDetail {
            summary,
            tasks: Vec::new(),
            waiting_reasons: vec![reason],
        })
    }

    /// Answers with the changes that a configuration document would make.
    async fn dry_run(&self, document: &configuration::Document) -> message::CommandOutcome {
        let (reply, answer) = tokio::sync::oneshot::channel();
        self.context
            .report(event::ControlEvent::ConfigRequested { reply });
        let Ok(in_force) = answer.await else {
            return message::CommandOutcome::refused(
                ResultCode::NotReady,
                "this entry host is stopping",
            );
        };
        let changes = configuration::diff(&in_force.document, document);
        let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
        let text = if lines.is_empty() {
            "no change".to_owned()
        } else {
            lines.join("\n")
        };
        message::CommandOutcome::done(in_force.version, &text)
    }

    /// Returns the audit log entries since a time, at most [`MAX_AUDIT_ROWS`].
    async fn changes_since(
        &self,
        since: time::WallTimeMs,
    ) -> Result<Vec<message::AuditEntry>, message::Refusal> {
        let commands = &self.context.platform.commands;
        let rows = commands.audit_since(since, MAX_AUDIT_ROWS).await;
        let rows = rows.map_err(|error| store_refusal(&error))?;
        Ok(rows.into_iter().map(audit_entry).collect())
    }
}

/// Sends events to an operator until the operator disconnects or falls too far behind.
async fn follow(
    context: Arc<context::Context>,
    mut after: Option<u64>,
    sender: mpsc::Sender<message::Event>,
) {
    loop {
        let answer = context.query(query::Query::Events { after }).await;
        let Some(query::Answer::Events(page)) = answer else {
            return;
        };
        after = Some(page.last_sequence);
        for event in page.events {
            if sender.try_send(event).is_err() {
                return;
            }
        }
        if sender.is_closed() {
            return;
        }
        tokio::time::sleep(EVENT_POLL_INTERVAL).await;
    }
}

/// Parses and validates a configuration document. Returns all faults, one per line.
fn parse_document(text: &str) -> Result<configuration::Document, String> {
    let document: configuration::Document =
        toml::from_str(text).map_err(|error| error.to_string())?;
    document.validate().map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })?;
    Ok(document)
}

fn config_document(
    version: u64,
    document: String,
    row: Option<&schema::ConfigRow>,
) -> message::ConfigDocument {
    message::ConfigDocument {
        version,
        document,
        operator: row.map_or_else(String::new, |row| row.operator.clone()),
        accepted_wall_ms: row.map_or(time::WallTimeMs(0), |row| row.accepted_wall_ms),
    }
}

fn audit_entry(row: schema::AuditRow) -> message::AuditEntry {
    message::AuditEntry {
        wall_ms: row.wall_ms,
        operator: row.operator,
        what: row.what,
        from_revision: row.from_revision,
        command_id: row.command,
        code: ResultCode::Ok,
    }
}

fn no_leader() -> message::Refusal {
    let text = "the pool has no leader, or its leader is unreachable";
    message::Refusal::new(ResultCode::NoLeader, text).retry_after_ms(NO_LEADER_RETRY_DELAY)
}

fn job_not_found() -> message::Refusal {
    message::Refusal::new(ResultCode::NotFound, "there is no job with this name")
}

fn stopping() -> message::Refusal {
    message::Refusal::new(ResultCode::NotReady, "this entry host is stopping")
}

fn mismatched_answer() -> message::Refusal {
    message::Refusal::new(
        ResultCode::Internal,
        "the leader's answer does not match the query",
    )
}

fn internal_error(error: &dyn std::fmt::Display) -> message::Refusal {
    message::Refusal::new(ResultCode::Internal, &error.to_string())
}

fn store_refusal(error: &table::TableError) -> message::Refusal {
    match error {
        table::TableError::Unavailable { retry_after_ms } => {
            message::Refusal::new(ResultCode::StoreUnavailable, &error.to_string())
                .retry_after_ms(time::SpanMs(*retry_after_ms))
        }
        other => internal_error(other),
    }
}
