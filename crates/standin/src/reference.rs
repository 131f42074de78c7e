//! The reference model: a small deterministic model whose output depends on every
//! layer.
//!
//! Each layer mixes its state into the activation, and then the activation into
//! its state. The generated text is therefore correct only if every layer runs
//! exactly once and in order at every position: skipping, repeating or
//! reordering a layer changes the text. Engines run the same functions, so the
//! checker can compute the expected text without an engine.

use radishhaven_core::ids::{LayerRange, ModelId, VersionId};

/// The token that ends the generated text.
pub const END_TOKEN: u32 = 0;
/// Average number of tokens for each end token.
const MEAN_TOKENS_PER_END: u64 = 64;
/// Characters that the model generates: lowercase letters and the space.
const ALPHABET: &[u8; 27] = b"abcdefghijklmnopqrstuvwxyz ";
/// Makes the hash of an embedding differ from that of a layer.
const EMBED_SALT: u64 = 0x656d_6265_6464_696e;
/// Makes the hash of a sample differ from that of a layer.
const SAMPLE_SALT: u64 = 0x7361_6d70_6c65_7221;
/// Makes the update of a layer's state differ from its output.
const STATE_SALT: u64 = 0x6b76_2073_7461_7465;
/// Increment of SplitMix64.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hashes three values with the finaliser of SplitMix64.
pub fn mix(a: u64, b: u64, c: u64) -> u64 {
    let ab = finalise(finalise(a).wrapping_add(b).wrapping_add(GOLDEN_GAMMA));
    finalise(ab.wrapping_add(c).wrapping_add(GOLDEN_GAMMA))
}

fn finalise(value: u64) -> u64 {
    let z = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the seed of a model version.
pub fn model_seed(model: &ModelId, version: &VersionId) -> u64 {
    let bytes = model.as_str().bytes().chain([0]);
    bytes
        .chain(version.as_str().bytes())
        .fold(GOLDEN_GAMMA, |seed, b| mix(seed, u64::from(b), 0))
}

/// Returns the tokens of a prompt, one for each byte.
pub fn tokens(prompt: &str) -> Vec<u32> {
    prompt.bytes().map(u32::from).collect()
}

/// Returns the input activation of layer 0 for a token at a position.
pub fn embed(token: u32, position: u32) -> u64 {
    mix(u64::from(token), u64::from(position), EMBED_SALT)
}

/// Samples the next token from an output activation of the last layer.
pub fn sample(activation: u64) -> u32 {
    let sampled = mix(activation, 0, SAMPLE_SALT);
    if sampled.is_multiple_of(MEAN_TOKENS_PER_END) {
        return END_TOKEN;
    }
    let index = (sampled >> 8) % ALPHABET.len() as u64;
    u32::from(ALPHABET[index as usize])
}

/// Returns the character of a token, or `None` for the end token.
pub fn token_text(token: u32) -> Option<char> {
    if token == END_TOKEN {
        return None;
    }
    char::from_u32(token)
}

/// The KV state of a range of layers in a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayerState {
    seed: u64,
    layers: LayerRange,
    kv: Vec<u64>,
}

impl LayerState {
    /// Creates the state before the first position.
    pub fn new(seed: u64, layers: LayerRange) -> Self {
        let kv = vec![0; usize::from(layers.count())];
        Self { seed, layers, kv }
    }

    /// Creates the state from exported values.
    ///
    /// Returns `None` unless there is exactly one value for each layer.
    pub fn from_values(seed: u64, layers: LayerRange, kv: Vec<u64>) -> Option<Self> {
        let complete = kv.len() == usize::from(layers.count());
        complete.then_some(Self { seed, layers, kv })
    }

    /// Returns the range of layers.
    pub fn layers(&self) -> LayerRange {
        self.layers
    }

    /// Returns the state, one value for each layer.
    pub fn values(&self) -> &[u64] {
        &self.kv
    }

    /// Runs all layers at the next position and returns the output activation.
    pub fn run(&mut self, input: u64) -> u64 {
        let mut a = input;
        for (layer, kv) in (self.layers.start()..).zip(&mut self.kv) {
            a = mix(a ^ *kv, u64::from(layer), self.seed);
            *kv = mix(*kv ^ a, u64::from(layer), self.seed ^ STATE_SALT);
        }
        a
    }
}

/// Returns the text that a model with `layers` layers generates for a prompt.
///
/// The text is empty for an empty prompt, which has no position to continue
/// from, and for a model without layers.
pub fn generate(
    model: &ModelId,
    version: &VersionId,
    layers: u16,
    prompt: &str,
    max_tokens: u32,
) -> String {
    let Ok(range) = LayerRange::new(0, layers) else {
        return String::new();
    };
    let mut state = LayerState::new(model_seed(model, version), range);
    let mut position = 0;
    let mut last = None;
    for token in tokens(prompt) {
        last = Some(state.run(embed(token, position)));
        position += 1;
    }
    let mut text = String::new();
    let Some(mut activation) = last else {
        return text;
    };
    for _ in 0..max_tokens {
        let token = sample(activation);
        let Some(c) = token_text(token) else { break };
        text.push(c);
        activation = state.run(embed(token, position));
        position += 1;
    }
    text
}
