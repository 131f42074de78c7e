//! Leases with fencing tokens through an append-only log.
//!
//! A lease is the exclusive right to send orders to one shard of backend
//! servers for a limited time. A node acquires it by appending a claim to the
//! log; the offset after the claim is the *fencing token*, a number that grows
//! with each new holder, so that a backend server can refuse orders of earlier
//! ones. Nodes agree on the holder by the order of the records alone.
//!
//! The holder counts the duration of its lease from before it sent the append.
//! All other nodes count from when they read the record, and add a bound on
//! clock drift. At most one node at a time therefore considers itself the
//! holder. `docs/design/leases.md` gives the full argument and the alternatives.
//!
//! ```
//! use std::time::Duration;
//! use radishhaven_core::{
//!     ids::{FencingToken, Incarnation},
//!     lease::{Holder, LeaseConfig, Leases},
//!     platform::Record,
//!     time::Timestamp,
//! };
//!
//! let holder = Holder { vm: "node-1".parse()?, incarnation: Incarnation(1) };
//! let mut leases = Leases::new(holder, LeaseConfig::default());
//! let shard = "mvd-centro".parse()?;
//!
//! // The stream is empty, so no node holds the shard.
//! let now = Timestamp::from_millis(1_000);
//! leases.apply_read(now, 0, 0, &[]);
//! let claim = leases.claim(now, &shard).expect("the shard is free");
//!
//! // The claim takes effect once it is read back, whatever the append returned.
//! let body = serde_json::to_string(&claim)?;
//! leases.apply_read(now + Duration::from_millis(5), 0, 1, &[Record { offset: 0, body }]);
//! assert_eq!(leases.token(now + Duration::from_secs(1), &shard), Some(FencingToken(1)));
//!
//! // The lease expires unless it is renewed.
//! assert_eq!(leases.token(now + Duration::from_secs(60), &shard), None);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod record;
mod table;
#[cfg(test)]
mod tests;

pub use record::{Holder, LEASE_FORMAT, LeaseChange, LeaseRecord, MAX_LEASE_DURATION};
pub use table::{LeaseRow, Leases};

use std::time::Duration;

/// The number of parts per million in a whole.
const PPM: u32 = 1_000_000;

/// Settings of leases; the INI section `[lease]`.
#[derive(Debug, Clone)]
pub struct LeaseConfig {
    /// How long a lease lasts after a claim or a renewal. Default: 10 s.
    pub duration: Duration,
    /// Time between renewals. Default: 3 s.
    pub renew_interval: Duration,
    /// Maximum error of the rate of a clock, in parts per million. The rates of
    /// two clocks differ by at most twice this value. Default: 1000.
    pub drift_ppm: u32,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            renew_interval: Duration::from_secs(3),
            drift_ppm: 1_000,
        }
    }
}

impl LeaseConfig {
    /// Returns the time on this node's clock, which may run fast, after which a
    /// lease has expired on the clock of its holder, which may run slow.
    pub fn expiry_wait(&self, lease: Duration) -> Duration {
        let drift = self.drift_ppm.min(PPM / 2);
        lease * (PPM + drift) / (PPM - drift) + Duration::from_micros(1)
    }
}
