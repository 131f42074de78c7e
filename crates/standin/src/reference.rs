//! The reference model: a tiny deterministic model that needs every layer.
//!
//! Each layer mixes the activation with its own state and then its state with
//! the activation. The answer therefore depends on every layer running exactly
//! once, in order, at every position; a layer that is skipped, doubled or
//! reordered gives another answer. The engine runs the same functions, so that
//! a checker can tell the right answer without any engine.

use radishhaven_core::ids::{LayerRange, ModelId, VersionId};

/// The token that ends an answer.
pub const END_TOKEN: u32 = 0;
/// The end token comes once in this many tokens on average.
const END_ONE_IN: u64 = 64;
/// Lowercase letters and the space.
const ALPHABET: &[u8; 27] = b"abcdefghijklmnopqrstuvwxyz ";
/// Separates the mixing of an embedding from that of layers.
const EMBED_SALT: u64 = 0x656d_6265_6464_696e;
/// Separates the mixing of a sample from that of layers.
const SAMPLE_SALT: u64 = 0x7361_6d70_6c65_7221;
/// Separates the change of a layer's state from its output.
const STATE_SALT: u64 = 0x6b76_2073_7461_7465;
/// The increment of splitmix64.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Mixes three values by the finaliser of splitmix64.
pub fn mix(a: u64, b: u64, c: u64) -> u64 {
    let ab = finalise(finalise(a).wrapping_add(b).wrapping_add(GOLDEN_GAMMA));
    finalise(ab.wrapping_add(c).wrapping_add(GOLDEN_GAMMA))
}

fn finalise(value: u64) -> u64 {
    let z = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the seed of one version of a model.
pub fn model_seed(model: &ModelId, version: &VersionId) -> u64 {
    let bytes = model.as_str().bytes().chain([0]);
    bytes
        .chain(version.as_str().bytes())
        .fold(GOLDEN_GAMMA, |seed, b| mix(seed, u64::from(b), 0))
}

/// Returns the tokens of a prompt: one for each byte.
pub fn tokens(prompt: &str) -> Vec<u32> {
    prompt.bytes().map(u32::from).collect()
}

/// Returns the activation that enters layer 0.
pub fn embed(token: u32, position: u32) -> u64 {
    mix(u64::from(token), u64::from(position), EMBED_SALT)
}

/// Returns the token that an activation of the last layer stands for.
pub fn sample(activation: u64) -> u32 {
    let drawn = mix(activation, 0, SAMPLE_SALT);
    if drawn.is_multiple_of(END_ONE_IN) {
        return END_TOKEN;
    }
    let index = (drawn >> 8) % ALPHABET.len() as u64;
    u32::from(ALPHABET[index as usize])
}

/// Returns the text of one token; the end token has none.
pub fn token_text(token: u32) -> Option<char> {
    if token == END_TOKEN {
        return None;
    }
    char::from_u32(token)
}

/// The state of a range of layers for one session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayerState {
    seed: u64,
    layers: LayerRange,
    kv: Vec<u64>,
}

impl LayerState {
    /// Makes the state before the first position.
    pub fn new(seed: u64, layers: LayerRange) -> Self {
        let kv = vec![0; usize::from(layers.count())];
        Self { seed, layers, kv }
    }

    /// Makes the state from values that were exported.
    ///
    /// Returns nothing unless there is one value for each layer.
    pub fn from_values(seed: u64, layers: LayerRange, kv: Vec<u64>) -> Option<Self> {
        let whole = kv.len() == usize::from(layers.count());
        whole.then_some(Self { seed, layers, kv })
    }

    /// Returns the layers.
    pub fn layers(&self) -> LayerRange {
        self.layers
    }

    /// Returns the state as one value for each layer.
    pub fn values(&self) -> &[u64] {
        &self.kv
    }

    /// Runs all layers of the range at the next position.
    pub fn run(&mut self, input: u64) -> u64 {
        let mut a = input;
        for (layer, kv) in (self.layers.start()..).zip(&mut self.kv) {
            a = mix(a ^ *kv, u64::from(layer), self.seed);
            *kv = mix(*kv ^ a, u64::from(layer), self.seed ^ STATE_SALT);
        }
        a
    }
}

/// Returns the right answer of a model with `layers` layers.
///
/// An empty prompt has no position to continue from, so its answer is empty,
/// and so is the answer of a model without layers.
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
