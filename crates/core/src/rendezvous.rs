//! Rendezvous hashing: each pair of names has a fixed score, and whoever
//! scores highest for a name is chosen for it.
//!
//! All processes that know the same candidates choose the same ones without
//! a message, and the loss of a candidate moves only what it had.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the score of a candidate for a key; it is the same in every
/// process and on every machine.
pub fn score(key: &str, candidate: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(candidate.bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Returns the score of a pair of names from the hashes of each, for tables of
/// many pairs: the names are hashed once and not once a pair.
pub fn pair_score(key: u64, candidate: u64) -> u64 {
    mix(key ^ candidate.rotate_left(32))
}

/// Returns the weighted score: over many keys, a candidate is chosen in
/// proportion to its weight.
pub fn weighted_score(key: &str, candidate: &str, weight: f64) -> f64 {
    // The score becomes a number strictly between 0 and 1.
    let unit = ((score(key, candidate) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight / -unit.ln()
}

/// Spreads the last bytes of a name over all bits (the finaliser of SplitMix64).
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
