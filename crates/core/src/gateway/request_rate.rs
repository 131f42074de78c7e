//! Rates of requests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Thousandths in one request per second.
const MILLI: f64 = 1e3;

/// A rate in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub u64);

/// Why a number is not a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRate {
    /// The text is not a decimal number.
    #[error("not a number")]
    NotANumber,
    /// The number is negative or not finite.
    #[error("a rate is finite and not negative")]
    OutOfRange,
}

impl RequestRate {
    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLI
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(InvalidRate::OutOfRange);
        }
        Ok(Self((per_second * MILLI) as u64))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_second().fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, InvalidRate> {
        let per_second: f64 = text.parse().map_err(|_| InvalidRate::NotANumber)?;
        per_second.try_into()
    }
}
