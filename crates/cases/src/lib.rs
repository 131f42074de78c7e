//! Seeded cases for property-based tests.
//!
//! The generators are those of `bolero`. Its own runner takes a fresh seed and
//! a time limit for each run; here the seed and the number of cases are fixed,
//! so that every run judges the same cases.

use bolero_generator::{TypeGenerator, driver};
use rand::{SeedableRng, rngs::StdRng};

/// Bytes of randomness that one case may use; beyond them it draws zeros.
const MAX_CASE_BYTES: usize = 16 * 1024;

/// Cases that each invariant is judged by.
pub const INVARIANT_CASES: u32 = 10_000;

/// Names one case, so that a failure can be run again alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CaseId {
    /// The seed of the whole run.
    pub seed: u64,
    /// The case's number.
    pub number: u32,
}

/// Prints the case if the check panics.
struct Report(CaseId);

impl Drop for Report {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let CaseId { seed, number } = self.0;
            eprintln!("case {number} of seed {seed} failed");
        }
    }
}

/// Makes one case.
pub fn case<T: TypeGenerator>(id: CaseId) -> T {
    let options = driver::Options::default().with_max_len(MAX_CASE_BYTES);
    // Neighbouring numbers must not give related generators.
    let seed = id.seed.rotate_left(32) ^ u64::from(id.number);
    let mut driver = driver::Rng::new(StdRng::seed_from_u64(seed), &options);
    T::generate(&mut driver).expect("the generator draws from an endless source")
}

/// Checks `count` cases.
///
/// # Panics
///
/// Panics if a check does, and names the case.
pub fn check<T: TypeGenerator>(seed: u64, count: u32, mut check: impl FnMut(T)) {
    for number in 0..count {
        let id = CaseId { seed, number };
        let _report = Report(id);
        check(case(id));
    }
}
