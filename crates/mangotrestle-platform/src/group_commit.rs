//! Many small writes in few transactions.
//!
//! The store takes a few hundred transactions a second from the whole cell, while thousands of
//! things happen. A [`GroupCommit`] gathers items and gives them to a [`Sink`] in batches. The
//! interval adapts by itself: a batch is closed after a short linger, and while one batch is on
//! its way or waits for the write budget, the next one fills. Urgent items close a batch at once.
//!
//! # Outages
//!
//! A sink that keeps its items through an outage hands the batch back; the group commit holds it
//! and everything behind it within a bound and tries again with back-off. After the outage the
//! backlog drains in full batches, each of which takes its turn in the write budget, so the return
//! of the store is no stampede.

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

/// What became of a batch.
#[derive(Debug)]
pub enum Written<S: Sink + ?Sized> {
    /// Every item has its result, in the order of the batch.
    Done(Vec<Result<S::Receipt, S::Error>>),
    /// The store is unavailable; the items are kept and written later.
    Later(Vec<S::Item>),
}

/// Writes batches.
pub trait Sink: Send + 'static {
    /// What is gathered.
    type Item: Send + 'static;
    /// What the submitter gets.
    type Receipt: Clone + Send + 'static;
    /// Why an item was not written.
    type Error: Clone + Send + 'static;

    /// How much room an item takes, in the unit of [`GroupCommitBuilder::max_batch`].
    fn weight(_item: &Self::Item) -> usize {
        1
    }

    /// Whether [`coalesce`](Self::coalesce) makes anything less.
    const COALESCES: bool = false;

    /// Makes less of items that wait behind an outage, each at most this heavy if possible.
    /// Whoever handed in one of them is answered when the last of the result is written.
    #[must_use]
    fn coalesce(items: Vec<Self::Item>, _max_weight: usize) -> Vec<Self::Item> {
        items
    }

    /// Writes a batch, in order.
    fn write(
        &mut self,
        batch: Vec<Self::Item>,
        priority: budget::Priority,
    ) -> BoxFuture<'_, Written<Self>>;
}

/// Why an item was not taken or not written.
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

/// Sets up a [`GroupCommit`].
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
    /// Time for which a batch without urgent items is held open. Default: 20 ms.
    #[must_use]
    pub const fn linger(mut self, linger: Duration) -> Self {
        self.linger = linger;
        self
    }

    /// Weight from which a batch is full. Default: 2,000.
    #[must_use]
    pub const fn max_batch(mut self, weight: usize) -> Self {
        self.max_batch = weight;
        self
    }

    /// Weight of what waits, the batch on its way included, from which nothing more is taken.
    /// Default: 100,000.
    #[must_use]
    pub const fn max_waiting(mut self, weight: usize) -> Self {
        self.max_waiting = weight;
        self
    }

    /// Starts the group commit on the current runtime. It stops when all handles are dropped and
    /// what they submitted is written.
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

/// Handle to a group commit; clones share it.
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

/// An item on its way to the store.
pub struct Pending<S: Sink> {
    reply: oneshot::Receiver<Result<S::Receipt, S::Error>>,
}

impl<S: Sink> Pending<S> {
    /// Waits for the outcome of the item.
    ///
    /// # Errors
    ///
    /// The sink's error, or [`CommitError::Stopped`].
    pub async fn outcome(self) -> Result<S::Receipt, CommitError<S::Error>> {
        match self.reply.await {
            Ok(Ok(receipt)) => Ok(receipt),
            Ok(Err(error)) => Err(CommitError::Failed(error)),
            Err(_) => Err(CommitError::Stopped),
        }
    }
}

impl<S: Sink> GroupCommit<S> {
    /// A group commit with default settings; [`GroupCommitBuilder`] has others.
    #[must_use]
    pub fn builder() -> GroupCommitBuilder {
        GroupCommitBuilder::default()
    }

    /// Hands in an item. Items are written in the order in which they are handed in.
    ///
    /// # Errors
    ///
    /// [`CommitError::Full`] when as much waits as is allowed to.
    pub fn submit(
        &self,
        item: S::Item,
        priority: budget::Priority,
    ) -> Result<Pending<S>, CommitError<S::Error>> {
        let weight = S::weight(&item);
        let before = self.waiting.fetch_add(weight, Ordering::AcqRel);
        if before >= self.max_waiting {
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

    /// Hands in an item and waits for its outcome.
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

    /// Weight of what waits, the batch on its way included.
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
    open: bool,
}

impl<S: Sink> Batcher<S> {
    async fn run(mut self) {
        while self.gather().await {
            let batch = self.take_batch();
            self.write(batch).await;
        }
    }

    /// Fills the queue until a batch is due; false when there is nothing left to do.
    async fn gather(&mut self) -> bool {
        if self.queue.is_empty() && !self.receive().await {
            return false;
        }
        let close = Instant::now() + self.settings.linger;
        loop {
            self.receive_ready();
            if !self.open || self.is_due() {
                return true;
            }
            let received = tokio::time::timeout_at(close, self.receive()).await;
            if received.is_err() {
                return true;
            }
        }
    }

    fn is_due(&self) -> bool {
        let urgent = |submission: &Submission<S>| submission.priority == budget::Priority::Urgent;
        self.queue_weight >= self.settings.max_batch || self.queue.iter().any(urgent)
    }

    /// Takes items from the front until the batch is full; at least one.
    fn take_batch(&mut self) -> Vec<Submission<S>> {
        let mut batch = Vec::new();
        let mut weight = 0;
        while let Some(submission) = self.queue.pop_front() {
            weight += submission.weight;
            batch.push(submission);
            let next = self.queue.front().map_or(0, |next| next.weight);
            if weight + next > self.settings.max_batch {
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

    /// Writes a batch, again and again while the sink keeps its items.
    async fn write(&mut self, batch: Vec<Submission<S>>) {
        let priority = batch_priority(&batch);
        let weight: usize = batch.iter().map(|submission| submission.weight).sum();
        let (mut items, replies): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|submission| (submission.item, submission.replies))
            .unzip();
        let mut backoff = backoff::Backoff::new(FIRST_RETRY, SLOWEST_RETRY);
        loop {
            match self.sink.write(items, priority).await {
                Written::Done(results) => {
                    self.waiting.fetch_sub(weight, Ordering::AcqRel);
                    answer::<S>(replies, results);
                    return;
                }
                // The batch is handed in again as it is: the sink may have sent it before.
                Written::Later(kept) => items = kept,
            }
            self.absorb(backoff.next_delay()).await;
        }
    }

    /// Waits, and meanwhile takes in and coalesces what is submitted.
    async fn absorb(&mut self, delay: Duration) {
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
        let floor = self.coalesced_weight.max(self.settings.max_batch);
        if !S::COALESCES || self.queue_weight < 2 * floor {
            return;
        }
        let priority = batch_priority(self.queue.make_contiguous());
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
        if let Some(last) = self.queue.back_mut() {
            last.replies = replies.into_iter().flatten().collect();
        }
        self.reweigh();
    }

    fn reweigh(&mut self) {
        let before = self.queue_weight;
        self.queue_weight = self.queue.iter().map(|submission| submission.weight).sum();
        self.coalesced_weight = self.queue_weight;
        if self.queue_weight > before {
            let more = self.queue_weight - before;
            self.waiting.fetch_add(more, Ordering::AcqRel);
        } else {
            let less = before - self.queue_weight;
            self.waiting.fetch_sub(less, Ordering::AcqRel);
        }
    }
}

/// Delay after the first refusal of a batch.
const FIRST_RETRY: Duration = Duration::from_millis(100);
/// Longest delay between tries of a batch.
const SLOWEST_RETRY: Duration = Duration::from_secs(5);

fn batch_priority<S: Sink>(batch: &[Submission<S>]) -> budget::Priority {
    let urgent = batch
        .iter()
        .any(|submission| submission.priority == budget::Priority::Urgent);
    if urgent {
        budget::Priority::Urgent
    } else {
        budget::Priority::Normal
    }
}

fn answer<S: Sink>(replies: Vec<Vec<Reply<S>>>, results: Vec<Result<S::Receipt, S::Error>>) {
    for (replies, result) in replies.into_iter().zip(results) {
        for reply in replies {
            // A submitter that no longer waits is no fault.
            let _ = reply.send(result.clone());
        }
    }
}
