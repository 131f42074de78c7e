//! Time as an input: timestamps and timers.
//!
//! Nothing in this crate reads a clock. The caller passes the current
//! [`Timestamp`] with every event, and [`Timers`] returns the timers that are
//! due. Tests thereby control the time.

use std::{
    collections::BTreeMap,
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds on a monotonic clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time `ms` milliseconds after the clock's start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the whole milliseconds since the clock's start.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, d: Duration) -> Timestamp {
        let micros = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, d: Duration) -> Timestamp {
        let micros = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl FromStr for Timestamp {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix("us").unwrap_or(text).parse().map(Self)
    }
}

/// Identifies a timer in [`Timers`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(u64);

/// A set of timers, each with a value that is returned when the timer is due.
///
/// The cost of finding due timers is proportional to their number.
#[derive(Debug)]
pub struct Timers<T> {
    by_time: BTreeMap<(Timestamp, u64), T>,
    times: BTreeMap<u64, Timestamp>,
    next_id: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> Timers<T> {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self {
            by_time: BTreeMap::new(),
            times: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Adds a timer that returns `value` at `at`.
    pub fn subscribe(&mut self, at: Timestamp, value: T) -> TimerId {
        let id = self.next_id;
        self.next_id += 1;
        self.by_time.insert((at, id), value);
        self.times.insert(id, at);
        TimerId(id)
    }

    /// Cancels a timer; has no effect if the timer has already fired.
    pub fn cancel(&mut self, id: TimerId) {
        if let Some(at) = self.times.remove(&id.0) {
            self.by_time.remove(&(at, id.0));
        }
    }

    /// Removes the earliest timer that is due at `now` and returns its value.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<T> {
        let (&(at, id), _) = self.by_time.first_key_value()?;
        if at > now {
            return None;
        }
        self.times.remove(&id);
        self.by_time.remove(&(at, id))
    }

    /// Returns the time of the earliest timer.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.by_time.first_key_value().map(|(&(at, _), _)| at)
    }

    /// Returns the number of pending timers.
    pub fn len(&self) -> usize {
        self.by_time.len()
    }

    /// Returns whether no timers are pending.
    pub fn is_empty(&self) -> bool {
        self.by_time.is_empty()
    }
}
