//! Reproducible cases for property-based tests.
//!
//! The generators are those of `bolero`. Its own runner uses a new seed and a
//! time limit for each run. Here the seed and the number of cases are fixed, so
//! every run checks the same cases.

use bolero_generator::{TypeGenerator, driver};
use rand::{SeedableRng, rngs::StdRng};

/// Maximum number of random bytes that one case uses. After these, the
/// generator receives zeros.
const MAX_CASE_BYTES: usize = 16 * 1024;

/// Number of cases for which each invariant is checked.
pub const INVARIANT_CASES: u32 = 10_000;

/// Identifies one case, so a failed case can be run again alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CaseId {
    /// Seed of the run.
    pub seed: u64,
    /// Number of the case in the run.
    pub number: u32,
}

/// Prints the id of the case if the check panics.
struct PanicReporter(CaseId);

impl Drop for PanicReporter {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let CaseId { seed, number } = self.0;
            eprintln!("case {number} of seed {seed} failed");
        }
    }
}

/// Generates one case.
pub fn case<T: TypeGenerator>(id: CaseId) -> T {
    let options = driver::Options::default().with_max_len(MAX_CASE_BYTES);
    // Consecutive numbers must not produce related generators.
    let seed = id.seed.rotate_left(32) ^ u64::from(id.number);
    let mut driver = driver::Rng::new(StdRng::seed_from_u64(seed), &options);
    T::generate(&mut driver).expect("the generator never runs out of input")
}

/// Generates `count` cases and runs the check on each.
///
/// # Panics
///
/// Panics if a check panics, and prints the id of the case.
pub fn check<T: TypeGenerator>(seed: u64, count: u32, mut check: impl FnMut(T)) {
    for number in 0..count {
        let id = CaseId { seed, number };
        let _reporter = PanicReporter(id);
        check(case(id));
    }
}
