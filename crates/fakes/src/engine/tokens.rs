//! Generated text: a function of model, prompt and index, so that every answer can be checked.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Letters of one token; a space follows, so that a token has the four bytes that
/// [`estimate_tokens`](nutmegbay_proto::prefix::estimate_tokens) assumes.
const LETTERS: usize = 3;

/// Generator of the tokens of one answer.
#[derive(Debug, Clone, Copy)]
pub struct TokenSource(u64);

impl TokenSource {
    /// Generator for `prompt`.
    pub fn new(model: &str, prompt: &str) -> Self {
        Self(xxh3_64_with_seed(
            prompt.as_bytes(),
            xxh3_64_with_seed(model.as_bytes(), 0),
        ))
    }

    /// Token number `index` of the answer.
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

    /// Number of tokens after which the answer stops by itself, from 1 to `most`; none for 0.
    pub fn natural_len(self, most: u32) -> Option<u32> {
        let hash = xxh3_64_with_seed(b"length", self.0);
        (most > 0).then(|| 1 + u32::try_from(hash % u64::from(most)).unwrap_or(0))
    }
}

/// Tokens of an answer that is cut at `max_tokens`.
pub fn expected_tokens(model: &str, prompt: &str, max_tokens: u32) -> Vec<Box<str>> {
    let source = TokenSource::new(model, prompt);
    (0..max_tokens).map(|index| source.token(index)).collect()
}

/// Text of an answer that is cut at `max_tokens`.
pub fn expected_text(model: &str, prompt: &str, max_tokens: u32) -> String {
    expected_tokens(model, prompt, max_tokens).concat()
}
