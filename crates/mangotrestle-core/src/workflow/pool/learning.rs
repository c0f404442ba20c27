//! What a leader learned from finished runs, for its successor.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::collections::FastMap;
use crate::id;

use super::super::estimate::Estimates;
use super::super::worker_speed::WorkerSpeed;
use super::Pool;

/// What a leader learned: one row of its pool. Losing it costs accuracy only.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Learned {
    /// Forecasts of run times.
    #[serde(rename = "t")]
    pub times: Estimates,
    /// Speeds of the workers of which enough is known.
    #[serde(rename = "s")]
    pub speeds: BTreeMap<id::WorkerId, WorkerSpeed>,
}

/// Speeds that an earlier leader learned, of workers that this one does not list yet.
pub(super) type RememberedSpeeds = FastMap<id::WorkerId, WorkerSpeed>;

impl Pool {
    /// Returns what the leader has learned.
    #[must_use]
    pub fn learned(&self) -> Learned {
        let workers = self.workers.iter();
        let known = workers.filter(|(_, worker)| worker.learned_speed.is_known());
        let speeds = known.map(|(id, worker)| (id.clone(), worker.learned_speed.rounded()));
        Learned {
            times: self.estimates.clone(),
            speeds: speeds.collect(),
        }
    }

    /// Takes what an earlier leader learned.
    pub fn restore_learned(&mut self, learned: Learned) {
        self.estimates = learned.times;
        for (id, speed) in learned.speeds {
            match self.workers.get_mut(&id) {
                Some(worker) => worker.learned_speed = speed,
                None => {
                    self.remembered_speeds.insert(id, speed);
                }
            }
        }
    }
}
