//! Rendezvous hashing: each pair of key and candidate has a fixed score, and
//! the candidate with the highest score is chosen for a key.
//!
//! Processes with the same candidates make the same choice without
//! communication, and the loss of a candidate moves only the keys it had.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the score of a candidate for a key. The score is the same in every
/// process and on every machine.
pub fn score(key: &str, candidate: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(candidate.bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Returns the score of a pair of names from the hash of each. For tables of
/// many pairs this hashes each name once instead of once per pair.
pub fn pair_score(key: u64, candidate: u64) -> u64 {
    mix(key ^ candidate.rotate_left(32))
}

/// Returns the weighted score of a candidate. Over many keys, each candidate is
/// chosen in proportion to its weight.
pub fn weighted_score(key: &str, candidate: &str, weight: f64) -> f64 {
    // Maps the score to a number strictly between 0 and 1.
    let unit = ((score(key, candidate) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight / -unit.ln()
}

/// Mixes the last bytes of a name into all bits (the SplitMix64 finaliser).
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
