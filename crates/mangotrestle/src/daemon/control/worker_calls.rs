//! Calls to workers: each in a task of its own, with its answer reported to the pool.

use std::net::SocketAddr;
use std::sync::Arc;

use mangotrestle_core::collections;
use mangotrestle_core::id;
use mangotrestle_core::lease::leadership;
use mangotrestle_core::lease::message;
use mangotrestle_core::pool;
use mangotrestle_core::time;
use mangotrestle_worker::client;
use tokio_stream::StreamExt;

use super::event;
use crate::daemon::context;

/// The workers of a pool that can be called.
pub(super) struct WorkerCalls {
    context: Arc<context::Context>,
    pool: event::PoolIndex,
    options: client::ClientOptions,
    addresses: collections::FastMap<id::WorkerId, SocketAddr>,
    clients: collections::FastMap<id::WorkerId, client::WorkerClient>,
}

impl WorkerCalls {
    pub(super) fn new(
        context: Arc<context::Context>,
        pool: event::PoolIndex,
        deadline: time::SpanMs,
    ) -> Self {
        Self {
            context,
            pool,
            options: client::ClientOptions::default().deadline(deadline.as_duration()),
            addresses: collections::FastMap::default(),
            clients: collections::FastMap::default(),
        }
    }

    /// Replaces what is known of the workers' addresses.
    pub(super) fn set_addresses(
        &mut self,
        addresses: collections::FastMap<id::WorkerId, SocketAddr>,
    ) {
        self.clients
            .retain(|worker, client| addresses.get(worker) == Some(&client.address()));
        self.addresses = addresses;
    }

    /// Closes all connections, for a pool that is not led here any more.
    pub(super) fn disconnect(&mut self) {
        self.clients.clear();
    }

    fn client(&mut self, worker: &id::WorkerId) -> Option<client::WorkerClient> {
        if let Some(client) = self.clients.get(worker) {
            return Some(client.clone());
        }
        let address = *self.addresses.get(worker)?;
        let client = client::WorkerClient::new(address, &self.options);
        self.clients.insert(worker.clone(), client.clone());
        Some(client)
    }

    fn reporter(&self) -> Reporter {
        Reporter {
            context: Arc::clone(&self.context),
            pool: self.pool,
        }
    }

    /// Claims a worker's lease.
    pub(super) fn claim(
        &mut self,
        worker: id::WorkerId,
        sent_at: time::TimeMs,
        request: message::ClaimRequest,
    ) {
        let reporter = self.reporter();
        let Some(client) = self.client(&worker) else {
            reporter.lead(leadership::LeadershipEvent::Unreachable { worker, sent_at });
            return;
        };
        tokio::spawn(async move {
            let event = match client.claim(&request).await {
                Ok(granted) => claim_answered(worker, sent_at, Ok(granted)),
                Err(client::CallError::Refused { refusal, .. }) => {
                    claim_answered(worker, sent_at, Err(refusal))
                }
                Err(_) => leadership::LeadershipEvent::Unreachable { worker, sent_at },
            };
            reporter.lead(event);
        });
    }

    /// Renews a worker's lease.
    pub(super) fn renew(
        &mut self,
        worker: id::WorkerId,
        sent_at: time::TimeMs,
        request: message::RenewRequest,
    ) {
        let reporter = self.reporter();
        let Some(client) = self.client(&worker) else {
            reporter.lead(leadership::LeadershipEvent::Unreachable { worker, sent_at });
            return;
        };
        tokio::spawn(async move {
            let event = match client.renew(&request).await {
                Ok(granted) => renew_answered(worker, sent_at, Ok(granted)),
                Err(client::CallError::Refused { refusal, .. }) => {
                    renew_answered(worker, sent_at, Err(refusal))
                }
                Err(_) => leadership::LeadershipEvent::Unreachable { worker, sent_at },
            };
            reporter.lead(event);
        });
    }

    /// Starts runs on a worker.
    pub(super) fn start(
        &mut self,
        worker: &id::WorkerId,
        batch: u64,
        request: message::StartRequest,
    ) {
        let reporter = self.reporter();
        let Some(client) = self.client(worker) else {
            reporter.pool(pool::PoolEvent::StartUnanswered { batch });
            return;
        };
        tokio::spawn(async move {
            let event = match client.start(&request).await {
                Ok(answer) => pool::PoolEvent::StartAnswered {
                    batch,
                    result: Ok(answer),
                },
                Err(client::CallError::Refused { refusal, .. }) => pool::PoolEvent::StartAnswered {
                    batch,
                    result: Err(refusal),
                },
                Err(_) => pool::PoolEvent::StartUnanswered { batch },
            };
            reporter.pool(event);
        });
    }

    /// Stops runs on a worker. A stop without an answer is decided again by the scheduler.
    pub(super) fn stop(&mut self, worker: id::WorkerId, request: message::StopRequest) {
        let reporter = self.reporter();
        let Some(client) = self.client(&worker) else {
            return;
        };
        tokio::spawn(async move {
            let epoch = request.epoch;
            if let Err(client::CallError::Refused { refusal, .. }) = client.stop(&request).await {
                reporter.pool(pool::PoolEvent::StopRefused {
                    worker,
                    epoch,
                    refusal,
                });
            }
        });
    }

    /// Follows the ends of runs on a worker, until the lease or the connection is lost. Whatever
    /// the stream misses comes with the next renewal.
    pub(super) fn watch(&mut self, worker: id::WorkerId, request: message::WatchRequest) {
        let reporter = self.reporter();
        let Some(client) = self.client(&worker) else {
            return;
        };
        tokio::spawn(async move {
            let Ok(mut events) = client.watch(&request).await else {
                return;
            };
            while let Some(Ok(event)) = events.next().await {
                let worker = worker.clone();
                reporter.pool(pool::PoolEvent::RunsEnded {
                    worker,
                    ended: event.ended,
                });
            }
        });
    }
}

/// Reports to one pool.
struct Reporter {
    context: Arc<context::Context>,
    pool: event::PoolIndex,
}

impl Reporter {
    fn pool(&self, event: pool::PoolEvent) {
        self.context.report(event::ControlEvent::Pool {
            pool: self.pool,
            event,
        });
    }

    fn lead(&self, event: leadership::LeadershipEvent) {
        self.pool(pool::PoolEvent::Leadership(event));
    }
}

const fn claim_answered(
    worker: id::WorkerId,
    sent_at: time::TimeMs,
    result: Result<message::ClaimGranted, message::Refusal>,
) -> leadership::LeadershipEvent {
    leadership::LeadershipEvent::ClaimAnswered {
        worker,
        sent_at,
        result,
    }
}

const fn renew_answered(
    worker: id::WorkerId,
    sent_at: time::TimeMs,
    result: Result<message::RenewGranted, message::Refusal>,
) -> leadership::LeadershipEvent {
    leadership::LeadershipEvent::RenewAnswered {
        worker,
        sent_at,
        result,
    }
}
