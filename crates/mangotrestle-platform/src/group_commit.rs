//! Group commit: writes many small items in few transactions.
//!
//! The store accepts a few hundred transactions per second from the whole cell, while thousands of
//! events happen in that time. A [`GroupCommit`] collects items and passes them to a [`Sink`] in
//! batches. The batch interval adapts to the load: a batch is closed after a short linger, and
//! while it is being written or waits for the write budget, the next batch fills. Urgent items
//! close a batch at once.
//!
//! # Outages
//!
//! A sink that keeps its items through an outage returns the batch; the group commit keeps it and
//! all items queued behind it, up to a limit, and retries with back-off. After the outage the
//! backlog is written in full batches, each of which acquires the write budget, so that a store
//! that has just recovered is not overloaded.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use displaydoc::Display;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::backoff;
use crate::budget;
use crate::transport::BoxFuture;

/// Outcome of writing a batch.
#[derive(Debug)]
pub enum Written<S: Sink + ?Sized> {
    /// The batch was processed: one result per item, in the order of the batch.
    Done(Vec<Result<S::Receipt, S::Error>>),
    /// The store is unavailable; the returned items have to be written later.
    Later(Vec<S::Item>),
}

/// Writes batches of items for a [`GroupCommit`].
pub trait Sink: Send + 'static {
    /// Item that is written in batches.
    type Item: Send + 'static;
    /// Result of a written item, returned to its submitter.
    type Receipt: Clone + Send + 'static;
    /// Why an item was not written.
    type Error: Clone + Send + 'static;

    /// Returns the weight of an item, in the unit of [`GroupCommitBuilder::max_batch`].
    fn weight(_item: &Self::Item) -> usize {
        1
    }

    /// Whether [`coalesce`](Self::coalesce) can reduce the weight of items.
    const COALESCES: bool = false;

    /// Combines items that wait during an outage into fewer or lighter ones, each no heavier than
    /// `max_weight` if possible. All submitters of the items receive their result when the last
    /// returned item has been written.
    #[must_use]
    fn coalesce(items: Vec<Self::Item>, _max_weight: usize) -> Vec<Self::Item> {
        items
    }

    /// Writes a batch of items in their order.
    fn write(
        &mut self,
        batch: Vec<Self::Item>,
        priority: budget::Priority,
    ) -> BoxFuture<'_, Written<Self>>;
}

/// Error when an item was not accepted or not written.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CommitError<E> {
    /// the buffer of waiting writes is full
    Full,
    /// the group commit has stopped
    Stopped,
    /// the write failed: {0}
    Failed(E),
}

impl<E: std::fmt::Debug + std::fmt::Display> std::error::Error for CommitError<E> {}

/// Configures and starts a [`GroupCommit`].
#[derive(Clone, Copy, Debug)]
pub struct GroupCommitBuilder {
    linger: Duration,
    max_batch: usize,
    max_waiting: usize,
}

impl Default for GroupCommitBuilder {
    fn default() -> Self {
        Self {
            linger: Duration::from_millis(20),
            max_batch: 2_000,
            max_waiting: 100_000,
        }
    }
}

impl GroupCommitBuilder {
    /// Sets the time for which a batch without urgent items stays open. Default: 20 ms.
    #[must_use]
    pub const fn linger(mut self, linger: Duration) -> Self {
        self.linger = linger;
        self
    }

    /// Sets the weight at which a batch is full. Default: 2,000.
    #[must_use]
    pub const fn max_batch(mut self, weight: usize) -> Self {
        self.max_batch = weight;
        self
    }

    /// Sets the weight of waiting items, including the batch being written, at which further items
    /// are refused. Default: 100,000.
    #[must_use]
    pub const fn max_waiting(mut self, weight: usize) -> Self {
        self.max_waiting = weight;
        self
    }

    /// Starts the group commit on the current runtime. It stops once all handles are dropped and
    /// all submitted items are written.
    pub fn spawn<S: Sink>(self, sink: S) -> GroupCommit<S> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        let batcher = Batcher {
            settings: self,
            sink,
            receiver,
            queue: VecDeque::new(),
            queue_weight: 0,
            coalesced_weight: 0,
            waiting: Arc::clone(&waiting),
            open: true,
        };
        tokio::spawn(batcher.run());
        GroupCommit {
            sender,
            waiting,
            max_waiting: self.max_waiting,
        }
    }
}

type Reply<S> = oneshot::Sender<Result<<S as Sink>::Receipt, <S as Sink>::Error>>;

struct Submission<S: Sink> {
    item: S::Item,
    weight: usize,
    priority: budget::Priority,
    replies: Vec<Reply<S>>,
}

/// Handle of a group commit; clones refer to the same one.
pub struct GroupCommit<S: Sink> {
    sender: mpsc::UnboundedSender<Submission<S>>,
    waiting: Arc<AtomicUsize>,
    max_waiting: usize,
}

impl<S: Sink> Clone for GroupCommit<S> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
            waiting: Arc::clone(&self.waiting),
            max_waiting: self.max_waiting,
        }
    }
}

/// A submitted item whose outcome is not known yet.
pub struct Pending<S: Sink> {
    reply: oneshot::Receiver<Result<S::Receipt, S::Error>>,
}

impl<S: Sink> Pending<S> {
    /// Waits for the outcome of the item.
    ///
    /// # Errors
    ///
    /// [`CommitError::Failed`] with the sink's error, or [`CommitError::Stopped`].
    pub async fn outcome(self) -> Result<S::Receipt, CommitError<S::Error>> {
        match self.reply.await {
            Ok(Ok(receipt)) => Ok(receipt),
            Ok(Err(error)) => Err(CommitError::Failed(error)),
            Err(_) => Err(CommitError::Stopped),
        }
    }
}

impl<S: Sink> GroupCommit<S> {
    /// Returns a builder with default settings.
    #[must_use]
    pub fn builder() -> GroupCommitBuilder {
        GroupCommitBuilder::default()
    }

    /// Submits an item. Items are written in the order in which they are submitted.
    ///
    /// # Errors
    ///
    /// [`CommitError::Full`] when the weight of waiting items has reached its maximum.
    pub fn submit(
        &self,
        item: S::Item,
        priority: budget::Priority,
    ) -> Result<Pending<S>, CommitError<S::Error>> {
        let weight = S::weight(&item);
        let waiting_before = self.waiting.fetch_add(weight, Ordering::AcqRel);
        if waiting_before >= self.max_waiting {
            self.waiting.fetch_sub(weight, Ordering::AcqRel);
            return Err(CommitError::Full);
        }
        let (reply, receiver) = oneshot::channel();
        let submission = Submission {
            item,
            weight,
            priority,
            replies: vec![reply],
        };
        if self.sender.send(submission).is_err() {
            self.waiting.fetch_sub(weight, Ordering::AcqRel);
            return Err(CommitError::Stopped);
        }
        Ok(Pending { reply: receiver })
    }

    /// Submits an item and waits for its outcome.
    ///
    /// # Errors
    ///
    /// Those of [`submit`](Self::submit) and [`Pending::outcome`].
    pub async fn commit(
        &self,
        item: S::Item,
        priority: budget::Priority,
    ) -> Result<S::Receipt, CommitError<S::Error>> {
        self.submit(item, priority)?.outcome().await
    }

    /// Returns the weight of waiting items, including the batch being written.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }
}

struct Batcher<S: Sink> {
    settings: GroupCommitBuilder,
    sink: S,
    receiver: mpsc::UnboundedReceiver<Submission<S>>,
    queue: VecDeque<Submission<S>>,
    queue_weight: usize,
    /// Weight of the queue after it was last coalesced.
    coalesced_weight: usize,
    waiting: Arc<AtomicUsize>,
    /// Whether more items can be submitted.
    open: bool,
}

impl<S: Sink> Batcher<S> {
    async fn run(mut self) {
        while self.fill_queue().await {
            let batch = self.take_batch();
            self.write(batch).await;
        }
    }

    /// Fills the queue until a batch is due. Returns false if all handles are dropped and nothing
    /// is left to write.
    async fn fill_queue(&mut self) -> bool {
        if self.queue.is_empty() && !self.receive().await {
            return false;
        }
        let linger_end = Instant::now() + self.settings.linger;
        loop {
            self.receive_ready();
            if !self.open || self.is_due() {
                return true;
            }
            let received = tokio::time::timeout_at(linger_end, self.receive()).await;
            if received.is_err() {
                return true;
            }
        }
    }

    fn is_due(&self) -> bool {
        let is_urgent =
            |submission: &Submission<S>| submission.priority == budget::Priority::Urgent;
        self.queue_weight >= self.settings.max_batch || self.queue.iter().any(is_urgent)
    }

    /// Takes items from the front of the queue until the batch is full, at least one item.
    fn take_batch(&mut self) -> Vec<Submission<S>> {
        let mut batch = Vec::new();
        let mut weight = 0;
        while let Some(submission) = self.queue.pop_front() {
            weight += submission.weight;
            batch.push(submission);
            let next_weight = self.queue.front().map_or(0, |next| next.weight);
            if weight + next_weight > self.settings.max_batch {
                break;
            }
        }
        self.queue_weight -= weight;
        self.coalesced_weight = self.coalesced_weight.saturating_sub(weight);
        batch
    }

    async fn receive(&mut self) -> bool {
        let received = self.receiver.recv().await;
        self.open = received.is_some();
        self.enqueue(received);
        self.open
    }

    fn receive_ready(&mut self) {
        while let Ok(submission) = self.receiver.try_recv() {
            self.enqueue(Some(submission));
        }
    }

    fn enqueue(&mut self, submission: Option<Submission<S>>) {
        self.queue_weight += submission.as_ref().map_or(0, |s| s.weight);
        self.queue.extend(submission);
    }

    /// Writes a batch, and retries while the sink returns its items.
    async fn write(&mut self, batch: Vec<Submission<S>>) {
        let priority = highest_priority(&batch);
        let weight: usize = batch.iter().map(|submission| submission.weight).sum();
        let (mut items, replies): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|submission| (submission.item, submission.replies))
            .unzip();
        let mut backoff = backoff::Backoff::new(INITIAL_RETRY_BACKOFF, MAX_RETRY_BACKOFF);
        loop {
            match self.sink.write(items, priority).await {
                Written::Done(results) => {
                    self.waiting.fetch_sub(weight, Ordering::AcqRel);
                    send_results::<S>(replies, results);
                    return;
                }
                // The retried batch must be the same: the sink may have sent it already.
                Written::Later(unwritten) => items = unwritten,
            }
            self.wait_and_enqueue(backoff.next_delay()).await;
        }
    }

    /// Waits for the delay, and meanwhile queues and coalesces submitted items.
    async fn wait_and_enqueue(&mut self, delay: Duration) {
        let end = Instant::now() + delay;
        while self.open && tokio::time::timeout_at(end, self.receive()).await.is_ok() {
            self.coalesce_queue();
        }
        tokio::time::sleep_until(end).await;
        self.receive_ready();
        self.coalesce_queue();
    }

    /// Coalesces the queue each time its weight has doubled, so that the cost of an item does not
    /// grow with the length of the outage.
    fn coalesce_queue(&mut self) {
        let base_weight = self.coalesced_weight.max(self.settings.max_batch);
        if !S::COALESCES || self.queue_weight < 2 * base_weight {
            return;
        }
        let priority = highest_priority(self.queue.make_contiguous());
        let queue = std::mem::take(&mut self.queue);
        let (items, replies): (Vec<_>, Vec<_>) = queue
            .into_iter()
            .map(|submission| (submission.item, submission.replies))
            .unzip();
        for item in S::coalesce(items, self.settings.max_batch) {
            self.queue.push_back(Submission {
                weight: S::weight(&item),
                item,
                priority,
                replies: Vec::new(),
            });
        }
        if let Some(last_item) = self.queue.back_mut() {
            last_item.replies = replies.into_iter().flatten().collect();
        }
        self.update_weights();
    }

    /// Updates the weights after the queue was coalesced.
    fn update_weights(&mut self) {
        let old_weight = self.queue_weight;
        self.queue_weight = self.queue.iter().map(|submission| submission.weight).sum();
        self.coalesced_weight = self.queue_weight;
        if self.queue_weight > old_weight {
            let added = self.queue_weight - old_weight;
            self.waiting.fetch_add(added, Ordering::AcqRel);
        } else {
            let removed = old_weight - self.queue_weight;
            self.waiting.fetch_sub(removed, Ordering::AcqRel);
        }
    }
}

/// Upper bound of the delay after the first failed attempt to write a batch.
const INITIAL_RETRY_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay between attempts to write a batch.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(5);

fn highest_priority<S: Sink>(batch: &[Submission<S>]) -> budget::Priority {
    let urgent = batch
        .iter()
        .any(|submission| submission.priority == budget::Priority::Urgent);
    if urgent {
        budget::Priority::Urgent
    } else {
        budget::Priority::Normal
    }
}

fn send_results<S: Sink>(replies: Vec<Vec<Reply<S>>>, results: Vec<Result<S::Receipt, S::Error>>) {
    for (replies, result) in replies.into_iter().zip(results) {
        for reply in replies {
            // Fails if the submitter no longer waits, which is no error.
            let _ = reply.send(result.clone());
        }
    }
}
