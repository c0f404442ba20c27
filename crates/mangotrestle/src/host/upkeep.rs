//! Carries out waves of upkeep.

use std::sync::Arc;

use super::cell::Cell;

/// Follows waves until the process ends.
pub(super) async fn follow(_cell: Arc<Cell>) {}
