//! Generated text. Each token is a pure function of model, prompt and index, so that tests can
//! check every answer, including one that another engine resumed.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of letters in a token. A space follows them, so that a token has the four bytes that
/// [`estimate_tokens`](nutmegbay_proto::prefix::estimate_tokens) assumes.
const LETTERS: usize = 3;

/// Deterministic generator of the tokens of one answer.
#[derive(Debug, Clone, Copy)]
pub struct TokenSource(u64);

impl TokenSource {
    /// Returns the generator for the answer of `model` to `prompt`.
    pub fn new(model: &str, prompt: &str) -> Self {
        Self(xxh3_64_with_seed(
            prompt.as_bytes(),
            xxh3_64_with_seed(model.as_bytes(), 0),
        ))
    }

    /// Returns the token at `index` of the answer.
    pub fn token(self, index: u32) -> Box<str> {
        let mut bits = xxh3_64_with_seed(&index.to_le_bytes(), self.0);
        let mut text = String::with_capacity(LETTERS + 1);
        for _ in 0..LETTERS {
            text.push(char::from(b'a' + (bits % 26) as u8));
            bits /= 26;
        }
        text.push(' ');
        text.into()
    }

    /// Returns the number of tokens after which the answer ends by itself, from 1 to `max_len`, or
    /// `None` if `max_len` is 0.
    pub fn natural_len(self, max_len: u32) -> Option<u32> {
        let hash = xxh3_64_with_seed(b"length", self.0);
        (max_len > 0).then(|| 1 + u32::try_from(hash % u64::from(max_len)).unwrap_or(0))
    }
}

/// Returns the first `max_tokens` tokens of the answer of `model` to `prompt`.
pub fn expected_tokens(model: &str, prompt: &str, max_tokens: u32) -> Vec<Box<str>> {
    let source = TokenSource::new(model, prompt);
    (0..max_tokens).map(|index| source.token(index)).collect()
}

/// Returns the text of the first `max_tokens` tokens of the answer of `model` to `prompt`.
pub fn expected_text(model: &str, prompt: &str, max_tokens: u32) -> String {
    expected_tokens(model, prompt, max_tokens).concat()
}
