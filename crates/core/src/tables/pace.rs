//! How long steps take at each engine, as this node has seen it.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use crate::ids::VmId;

/// Steps of at most so many positions tell the time that a step takes at least.
const SHORT_STEP_POSITIONS: u32 = 4;
/// Engines whose means are kept.
const MAX_ENGINES: usize = 20_000;
/// Weight of the past in a mean.
const MEAN_WEIGHT: u64 = 7;

/// Means for one engine, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Pace {
    /// Time of a step of few positions.
    pub step_us: u64,
    /// Further time for each position of a long step.
    pub position_us: u64,
}

/// Means by engine.
#[derive(Debug, Default, Serialize)]
pub struct PaceTable {
    rows: BTreeMap<VmId, Pace>,
}

fn mean(old: u64, new: u64) -> u64 {
    match old {
        0 => new,
        old => (old * MEAN_WEIGHT + new) / (MEAN_WEIGHT + 1),
    }
}

impl PaceTable {
    /// Takes in the time of a step that was answered.
    pub fn observe(&mut self, vm: &VmId, positions: u32, took: Duration) {
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        if self.rows.len() >= MAX_ENGINES && !self.rows.contains_key(vm) {
            self.rows.pop_first();
        }
        let pace = self.rows.entry(vm.clone()).or_default();
        if positions <= SHORT_STEP_POSITIONS {
            pace.step_us = mean(pace.step_us, us);
        } else {
            let further = us.saturating_sub(pace.step_us) / u64::from(positions);
            pace.position_us = mean(pace.position_us, further.max(1));
        }
    }

    /// Returns the time that a step should take, if such steps were seen.
    pub fn expected(&self, vm: &VmId, positions: u32) -> Option<Duration> {
        let pace = self.rows.get(vm)?;
        let long = positions > SHORT_STEP_POSITIONS;
        if pace.step_us == 0 || (long && pace.position_us == 0) {
            return None;
        }
        let further = if long { pace.position_us } else { 0 };
        let us = pace.step_us + further * u64::from(positions);
        Some(Duration::from_micros(us))
    }
}
