//! The function that the stand-in engines compute.
//!
//! A layer's output mixes its input, the layer's number and a digest of the layer's KV, which in
//! turn folds in every input so far. So an answer is right only if every layer ran exactly once for
//! every position, in order.

/// Bytes that carry a value in an activation; the rest is padding up to the hidden size.
pub const VALUE_BYTES: usize = 8;

/// Words that token ids stand for.
const WORDS: [&str; 16] = [
    "pump", "valve", "report", "seal", "rotor", "oil", "check", "torque", "cement", "pallet",
    "brick", "site", "truck", "quote", "note", "line",
];

/// One token in so many ends the answer, once the answer may end.
const END_ODDS: u64 = 97;

fn mix(value: u64) -> u64 {
    // The finalizer of SplitMix64.
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The token ids of a text: one for each word.
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

/// The input of layer 0 for a token.
pub fn embed(token: u32) -> u64 {
    mix(u64::from(token))
}

/// What an adapter, named or empty for none, adds to each layer's number.
pub fn adapter_salt(adapter: &str) -> u64 {
    adapter
        .bytes()
        .fold(0, |salt, byte| mix(salt ^ u64::from(byte)))
}

/// One layer over one position, with an adapter's `salt`. `kv` is the digest of the layer's KV, which the position joins.
pub fn layer(number: u32, salt: u64, input: u64, kv: &mut u64) -> u64 {
    let output = mix(input ^ kv.rotate_left(17) ^ salt ^ u64::from(number));
    *kv = mix(*kv ^ input);
    output
}

/// A token as the last stage gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Its id.
    pub id: u32,
    /// Its text.
    pub text: String,
    /// Whether the answer ends with it.
    pub end: bool,
}

/// The token that follows a position, from the last layer's output. `ends` lets answers end.
pub fn sample(output: u64, ends: bool) -> Token {
    let word = WORDS[(output % WORDS.len() as u64) as usize];
    Token {
        id: (output >> 32) as u32,
        text: format!("{word} "),
        end: ends && (output >> 8).is_multiple_of(END_ODDS),
    }
}

/// What a model of `layers` layers answers with an adapter, empty for none, computed in one place.
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
