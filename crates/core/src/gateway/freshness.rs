//! Tracks how recently the active configuration was confirmed to be the newest.

use std::time::Duration;

use serde::Serialize;

use super::store_view::StoreEra;
use crate::time::Timestamp;

/// Time after the store has returned from an older copy within which operators
/// write the configuration again. A read of the copy alone confirms nothing
/// until then, because the copy may lack the newest configuration.
const REWRITE_TIME: Duration = Duration::from_millis(2_300);

/// A read of the configuration from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationRead {
    /// The era of the store that answered.
    pub era: StoreEra,
    /// When the read was sent.
    pub sent: Timestamp,
    /// Whether the read returned a configuration that was written in this era.
    pub written: bool,
}

/// The latest confirmation that the configuration is the newest one.
///
/// A confirmation counts from the time at which the read was sent. The response
/// may have been delayed by any amount, so its arrival time proves nothing.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Freshness {
    sent: Option<Timestamp>,
    era: Option<StoreEra>,
    /// Time from which reads of the current era confirm the configuration.
    trusted_from: Timestamp,
    /// Whether the process has begun in the current era, which is not the first one.
    began_in_later_era: bool,
    /// Whether the store has returned from a copy, and no configuration was seen that was
    /// written since.
    may_lack_newest: bool,
}

impl Freshness {
    /// Records a confirmation by data that was current at `sent`.
    pub fn confirm(&mut self, sent: Timestamp) {
        self.sent = self.sent.max(Some(sent));
    }

    /// Records a read of the configuration that was answered at `now`. It
    /// confirms the configuration unless the store has returned from an older
    /// copy and the configuration may still be missing from it. A process that
    /// begins in a later era can't tell how long ago that was.
    pub fn record_read(&mut self, now: Timestamp, read: ConfigurationRead) {
        match self.era {
            Some(era) if read.era < era => return,
            Some(era) if read.era == era => {}
            None if read.era == StoreEra::default() => {}
            previous => {
                self.trusted_from = now + REWRITE_TIME;
                self.began_in_later_era = previous.is_none();
                self.may_lack_newest = true;
            }
        }
        self.era = Some(read.era);
        if read.written {
            self.trusted_from = self.trusted_from.min(read.sent);
            self.may_lack_newest = false;
        }
        if read.sent >= self.trusted_from {
            self.confirm(read.sent);
        }
    }

    /// Returns whether nothing was confirmed yet since the store has returned
    /// from an older copy.
    pub fn awaits_rewrite(&self) -> bool {
        self.sent < Some(self.trusted_from)
    }

    /// Returns whether the process has begun in a later era of the store, and its own
    /// reads confirm nothing yet.
    pub fn relies_on_peers(&self, now: Timestamp) -> bool {
        self.began_in_later_era && now < self.trusted_from
    }

    /// Returns whether a confirmation may rest on a copy that lacks the newest
    /// configuration. `registry_era` is the era in which the registry was last read: a leaf
    /// reads the registry in a new era, and takes its hub's confirmations of the
    /// configuration.
    pub fn may_lack_newest(&self, registry_era: Option<StoreEra>) -> bool {
        self.may_lack_newest || registry_era > self.era
    }

    /// Returns the time since the latest confirmation, or `None` if there is
    /// none yet.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.sent.map(|sent| now.since(sent))
    }

    /// Returns whether the latest confirmation is younger than `bound`.
    pub fn is_fresh(&self, now: Timestamp, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
