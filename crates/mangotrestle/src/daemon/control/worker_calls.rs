//! Calls to workers. Each runs in a task of its own, which reports the answer to the pool.

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

/// Calls the workers of a pool. Keeps one client per worker.
pub(super) struct WorkerCalls {
    context: Arc<context::Context>,
    pool_index: event::PoolIndex,
    options: client::ClientOptions,
    addresses: collections::FastMap<id::WorkerId, SocketAddr>,
    clients: collections::FastMap<id::WorkerId, client::WorkerClient>,
}

impl WorkerCalls {
    pub(super) fn new(
        context: Arc<context::Context>,
        pool_index: event::PoolIndex,
        answer_timeout: time::SpanMs,
    ) -> Self {
        Self {
            context,
            pool_index,
            options: client::ClientOptions::default().call_timeout(answer_timeout.as_duration()),
            addresses: collections::FastMap::default(),
            clients: collections::FastMap::default(),
        }
    }

    /// Replaces the workers' addresses and drops the clients whose address changed.
    pub(super) fn set_addresses(
        &mut self,
        addresses: collections::FastMap<id::WorkerId, SocketAddr>,
    ) {
        self.clients
            .retain(|worker, client| addresses.get(worker) == Some(&client.address()));
        self.addresses = addresses;
    }

    /// Drops all clients when this host no longer leads the pool.
    pub(super) fn disconnect(&mut self) {
        self.clients.clear();
    }

    /// Returns the client for a worker; `None` if its address is unknown.
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
            pool_index: self.pool_index,
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
            reporter.report_leadership_event(leadership::LeadershipEvent::Unreachable {
                worker,
                sent_at,
            });
            return;
        };
        tokio::spawn(async move {
            let event = match client.claim(&request).await {
                Ok(granted) => claim_answered_event(worker, sent_at, Ok(granted)),
                Err(client::CallError::Refused { refusal, .. }) => {
                    claim_answered_event(worker, sent_at, Err(refusal))
                }
                Err(_) => leadership::LeadershipEvent::Unreachable { worker, sent_at },
            };
            reporter.report_leadership_event(event);
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
            reporter.report_leadership_event(leadership::LeadershipEvent::Unreachable {
                worker,
                sent_at,
            });
            return;
        };
        tokio::spawn(async move {
            let event = match client.renew(&request).await {
                Ok(granted) => renew_answered_event(worker, sent_at, Ok(granted)),
                Err(client::CallError::Refused { refusal, .. }) => {
                    renew_answered_event(worker, sent_at, Err(refusal))
                }
                Err(_) => leadership::LeadershipEvent::Unreachable { worker, sent_at },
            };
            reporter.report_leadership_event(event);
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
            reporter.report(pool::PoolEvent::StartUnanswered { batch });
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
            reporter.report(event);
        });
    }

    /// Stops runs on a worker. If there is no answer, the scheduler decides whether to send the
    /// stop again.
    pub(super) fn stop(&mut self, worker: id::WorkerId, request: message::StopRequest) {
        let reporter = self.reporter();
        let Some(client) = self.client(&worker) else {
            return;
        };
        tokio::spawn(async move {
            let epoch = request.epoch;
            if let Err(client::CallError::Refused { refusal, .. }) = client.stop(&request).await {
                reporter.report(pool::PoolEvent::StopRefused {
                    worker,
                    epoch,
                    refusal,
                });
            }
        });
    }

    /// Reports ended runs from a worker's event stream until the lease or the connection is lost.
    /// The next lease renewal reports the ends that the stream missed.
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
                reporter.report(pool::PoolEvent::RunsEnded {
                    worker,
                    ended: event.ended,
                });
            }
        });
    }
}

/// Reports events to one pool.
struct Reporter {
    context: Arc<context::Context>,
    pool_index: event::PoolIndex,
}

impl Reporter {
    fn report(&self, event: pool::PoolEvent) {
        self.context.report(event::ControlEvent::Pool {
            pool_index: self.pool_index,
            event,
        });
    }

    fn report_leadership_event(&self, event: leadership::LeadershipEvent) {
        self.report(pool::PoolEvent::Leadership(event));
    }
}

const fn claim_answered_event(
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

const fn renew_answered_event(
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
