//! Tests of which responses end when the memory for them is used up.

use std::collections::BTreeMap;

use bolero_generator::TypeGenerator;
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::gateway::response_usage::{
    ResponseFit, ResponseId, ResponseSize, ResponseUsage, SMALL_RESPONSE_BYTES,
};

/// Memory of a process whose responses may take 10 MB.
const MEMORY: u64 = 92_000_000;
const MB: u64 = 1_000_000;

fn fits() -> ResponseFit {
    ResponseFit::After(Vec::new())
}

fn open(usage: &mut ResponseUsage, size: ResponseSize, bytes: u64) -> ResponseId {
    let id = usage.open(size);
    assert_eq!(usage.resize(id, bytes, 0), fits());
    id
}

/// Endless answers must not end those of other requests.
#[test]
fn open_response_ends_before_one_of_stated_size() {
    let mut usage = ResponseUsage::new(MEMORY);
    let stated = open(&mut usage, ResponseSize::Stated, 5 * MB);
    let endless = open(&mut usage, ResponseSize::Open, 3 * MB);
    let next = usage.open(ResponseSize::Stated);
    assert_eq!(
        usage.resize(next, 4 * MB, 0),
        ResponseFit::After(vec![endless])
    );
    assert_eq!(usage.resize(endless, 3 * MB, 0), ResponseFit::Refused);
    let late = usage.open(ResponseSize::Open);
    assert_eq!(usage.resize(late, 2 * MB, 0), ResponseFit::Refused);
    usage.close(stated);
    assert_eq!(usage.resize(late, 2 * MB, 0), fits());
}

#[test]
fn largest_open_response_ends_first() {
    let mut usage = ResponseUsage::new(MEMORY);
    let largest = open(&mut usage, ResponseSize::Open, 6 * MB);
    open(&mut usage, ResponseSize::Open, 3 * MB);
    let next = usage.open(ResponseSize::Open);
    assert_eq!(
        usage.resize(next, 2 * MB, 0),
        ResponseFit::After(vec![largest])
    );
    assert_eq!(usage.resize(next, 8 * MB, 0), ResponseFit::Refused);
    // It keeps what it had until it is closed.
    assert_eq!(usage.bytes(), 5 * MB);
}

/// Small answers must be received also while callers do not read complete ones.
#[test]
fn small_responses_fit_beside_unread_ones() {
    let mut usage = ResponseUsage::new(MEMORY);
    let large = usage.open(ResponseSize::Stated);
    assert_eq!(usage.resize(large, 4 * MB, 7 * MB), ResponseFit::Refused);
    let small = usage.open(ResponseSize::Open);
    let fit = usage.resize(small, SMALL_RESPONSE_BYTES, 20 * MB);
    assert_eq!(fit, fits());
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Open { is_stated: bool },
    Resize { which: u8, kb: u16 },
    Close { which: u8 },
}

/// Whatever responses do, the large ones stay within the bound, and none is ended for a
/// smaller cause than itself.
#[test]
fn large_responses_stay_within_the_bound() {
    check(54, INVARIANT_CASES, |steps: Vec<Step>| {
        let mut usage = ResponseUsage::new(MEMORY);
        let mut sizes: BTreeMap<ResponseId, (ResponseSize, u64)> = BTreeMap::new();
        let nth = |sizes: &BTreeMap<ResponseId, _>, n: u8| {
            sizes
                .keys()
                .nth(usize::from(n) % sizes.len().max(1))
                .copied()
        };
        for step in steps.into_iter().take(200) {
            match step {
                Step::Open { is_stated } => {
                    let size = match is_stated {
                        true => ResponseSize::Stated,
                        false => ResponseSize::Open,
                    };
                    sizes.insert(usage.open(size), (size, 0));
                }
                Step::Resize { which, kb } => {
                    let Some(id) = nth(&sizes, which) else {
                        continue;
                    };
                    let (size, before) = sizes[&id];
                    let bytes = u64::from(kb) * 1_000;
                    match usage.resize(id, bytes, 0) {
                        ResponseFit::After(ended) => {
                            for other in ended {
                                let other_size = sizes.remove(&other).expect("it is open");
                                assert!(other_size > (size, bytes), "{other_size:?}");
                                usage.close(other);
                            }
                            sizes.insert(id, (size, bytes));
                        }
                        ResponseFit::Refused => {
                            assert!(bytes > SMALL_RESPONSE_BYTES && bytes > before);
                        }
                    }
                }
                Step::Close { which } => {
                    if let Some(id) = nth(&sizes, which) {
                        usage.close(id);
                        sizes.remove(&id);
                    }
                }
            }
            let all: u64 = sizes.values().map(|(_, bytes)| bytes).sum();
            assert_eq!(usage.bytes(), all);
            let small = sizes.values().filter(|(_, b)| *b <= SMALL_RESPONSE_BYTES);
            let small: u64 = small.map(|(_, bytes)| bytes).sum();
            assert!(all <= usage.bound() + small, "{all} bytes");
        }
    });
}
