//! Leases with fencing tokens through an append-only log.
//!
//! A lease covers one shard of backend servers. Whoever wants it appends a
//! claim; the offset after the claim is its fencing token, and the log's order
//! is the only agreement. A holder counts its lease from before its append was
//! sent, all others from when they read the record, plus a bound on clock
//! drift, so that at most one holder holds itself for valid at a time. The
//! argument and the ways weighed are in `docs/design/leases.md`.
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
//! // The empty stream was read, so that nobody holds the shard.
//! let now = Timestamp::from_millis(1_000);
//! leases.read(now, 0, 0, &[]);
//! let claim = leases.claim(now, &shard).expect("nobody holds it");
//!
//! // The claim holds once it is read back, whatever the append was answered.
//! let body = serde_json::to_string(&claim)?;
//! leases.read(now + Duration::from_millis(5), 0, 1, &[Record { offset: 0, body }]);
//! assert_eq!(leases.token(now + Duration::from_secs(1), &shard), Some(FencingToken(1)));
//!
//! // Without a renewal it lapses by itself.
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

/// Parts of a million.
const MILLION: u32 = 1_000_000;

/// Shapes leases; the INI section `[lease]`.
#[derive(Debug, Clone)]
pub struct LeaseConfig {
    /// Time for which a claim or a renewal holds. Default: 10 s.
    pub duration: Duration,
    /// Time between two renewals. Default: 3 s.
    pub renew_interval: Duration,
    /// Bound on the error of a clock's rate, in parts of a million; the rates
    /// of two clocks differ by at most twice this. Default: 1000.
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
    /// Returns the time on this process's clock, which may be fast, after
    /// which a lease is over on its holder's clock, which may be slow.
    pub fn expiry_wait(&self, lease: Duration) -> Duration {
        let drift = self.drift_ppm.min(MILLION / 2);
        lease * (MILLION + drift) / (MILLION - drift) + Duration::from_micros(1)
    }
}
