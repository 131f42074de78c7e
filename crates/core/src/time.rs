//! Time as the decisions see it: a number that is handed in.
//!
//! Nothing in this crate reads a clock. A caller passes the current
//! [`Timestamp`] with every event, and [`Timers`] tells which subscriptions
//! have fallen due, so that a test decides what time it is.

use std::{
    collections::BTreeMap,
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A moment, in microseconds on a clock that never goes back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the moment `ms` milliseconds after the clock's start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the whole milliseconds since the clock's start.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
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

/// Names one subscription of [`Timers`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(u64);

/// The timer service: parts subscribe to a moment with a value of their own.
///
/// Finding what is due costs time in proportion to what is due.
#[derive(Debug)]
pub struct Timers<T> {
    due: BTreeMap<(Timestamp, u64), T>,
    at: BTreeMap<u64, Timestamp>,
    next: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> Timers<T> {
    /// Makes a service without subscriptions.
    pub fn new() -> Self {
        Self {
            due: BTreeMap::new(),
            at: BTreeMap::new(),
            next: 0,
        }
    }

    /// Subscribes `value` to the moment `at`.
    pub fn subscribe(&mut self, at: Timestamp, value: T) -> TimerId {
        let id = self.next;
        self.next += 1;
        self.due.insert((at, id), value);
        self.at.insert(id, at);
        TimerId(id)
    }

    /// Ends a subscription; one that has already fallen due is left alone.
    pub fn cancel(&mut self, id: TimerId) {
        if let Some(at) = self.at.remove(&id.0) {
            self.due.remove(&(at, id.0));
        }
    }

    /// Takes the earliest value that is due at `now`.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<T> {
        let (&(at, id), _) = self.due.first_key_value()?;
        if at > now {
            return None;
        }
        self.at.remove(&id);
        self.due.remove(&(at, id))
    }

    /// Returns the moment of the earliest subscription.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.due.first_key_value().map(|(&(at, _), _)| at)
    }

    /// Returns the number of subscriptions.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Tells whether there are no subscriptions.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}
