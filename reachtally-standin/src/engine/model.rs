//! The model function that the stand-in engines compute.
//!
//! A layer's output is a hash of its input, the layer's number and a digest of the layer's KV. The
//! digest covers every input so far, so the output is correct only if every layer ran exactly once
//! for every position, in order.

/// Size of the value in an activation; the remaining bytes are padding up to the hidden size.
pub const VALUE_BYTES: usize = 8;

/// Vocabulary of the output tokens.
const WORDS: [&str; 16] = [
    "pump", "valve", "report", "seal", "rotor", "oil", "check", "torque", "cement", "pallet",
    "brick", "site", "truck", "quote", "note", "line",
];

/// One in this many tokens ends the completion, if early ends are enabled.
const END_INTERVAL: u64 = 97;

fn mix(value: u64) -> u64 {
    // The SplitMix64 finalizer.
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns one token id for each word of a text, or a single 0 for a text without words.
pub fn tokenize(text: &str) -> Vec<u32> {
    let ids: Vec<u32> = text.split_whitespace().map(word_id).collect();
    if ids.is_empty() { vec![0] } else { ids }
}

fn word_id(word: &str) -> u32 {
    let hash = word
        .bytes()
        .fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
    hash as u32
}

/// Returns the input of layer 0 for a token.
pub fn embed(token: u32) -> u64 {
    mix(u64::from(token))
}

/// Returns the salt that an adapter mixes into each layer; an empty name means no adapter.
pub fn adapter_salt(adapter: &str) -> u64 {
    adapter
        .bytes()
        .fold(0, |salt, byte| mix(salt ^ u64::from(byte)))
}

/// Runs one layer on one position with the adapter's `salt`, and adds the position to the layer's
/// KV digest `kv`.
pub fn layer(number: u32, salt: u64, input: u64, kv: &mut u64) -> u64 {
    let output = mix(input ^ kv.rotate_left(17) ^ salt ^ u64::from(number));
    *kv = mix(*kv ^ input);
    output
}

/// A token sampled by the last stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Token id.
    pub id: u32,
    /// Text of the token.
    pub text: String,
    /// Whether the token ends the completion.
    pub end: bool,
}

/// Samples the next token from the last layer's output. `ends` allows it to end the completion.
pub fn sample(output: u64, ends: bool) -> Token {
    let word = WORDS[(output % WORDS.len() as u64) as usize];
    Token {
        id: (output >> 32) as u32,
        text: format!("{word} "),
        end: ends && (output >> 8).is_multiple_of(END_INTERVAL),
    }
}

/// Computes the expected completion of a model with `layers` layers; an empty `adapter` means none.
pub fn reference(layers: u32, adapter: &str, prompt: &str, max_tokens: u32) -> Vec<Token> {
    let salt = adapter_salt(adapter);
    let mut kv = vec![0; layers as usize];
    let mut run = |token: u32| {
        let mut value = embed(token);
        for number in 0..layers {
            value = layer(number, salt, value, &mut kv[number as usize]);
        }
        value
    };
    let mut output = 0;
    for token in tokenize(prompt) {
        output = run(token);
    }
    let mut answer = Vec::new();
    while (answer.len() as u32) < max_tokens {
        let token = sample(output, false);
        let id = token.id;
        answer.push(token);
        output = run(id);
    }
    answer
}
