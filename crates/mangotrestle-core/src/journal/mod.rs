//! Records of changes in a pool, and the state into which they fold.
//!
//! The leader of a pool appends [`Record`]s to the pool's journal. The next leader folds them into
//! a [`PoolState`]. Folding is idempotent and does not depend on the order of the records, so
//! records that were written twice or out of order do no harm: every value only increases in an
//! order of its own (attempt, then phase; revision).
//!
//! # Examples
//!
//! ```
//! use mangotrestle_core::{id, journal, task, time};
//!
//! let job: id::JobId = "certificates".parse()?;
//! let run = task::RunId { task: task::TaskId { job: job.clone(), index: 0 }, attempt: 1 };
//! let mut state = journal::PoolState::default();
//! state.apply(&journal::Record::RunEnded {
//!     run: run.clone(),
//!     outcome: task::RunOutcome::Succeeded,
//!     wall_ms: time::WallTimeMs(2),
//! });
//! // The record of the start arrives late and changes nothing.
//! state.apply(&journal::Record::RunStarted {
//!     run,
//!     worker: "w-1".parse()?,
//!     wall_ms: time::WallTimeMs(1),
//! });
//! let task = state.job(&job).and_then(|job| job.task(0)).unwrap();
//! assert_eq!(task.phase, journal::Phase::Ended(task::RunOutcome::Succeeded));
//! # Ok::<(), id::InvalidId>(())
//! ```

mod coalesce;
mod index_set;
mod record;
mod state;

pub use coalesce::{coalesce, weight};
pub use index_set::{IndexRange, IndexSet};
pub use record::{Record, Resolution, WorkerTasks};
pub use state::{JobState, Parked, Phase, PoolState, TaskState};
