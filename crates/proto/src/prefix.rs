//! Names of the pieces into which engines cut a prompt for their prefix cache.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of text that count as one token where the engine's tokenizer is not at hand.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens in one cache piece.
pub const PIECE_TOKENS: usize = 2_048;

/// Bytes of prompt text in one cache piece.
pub const PIECE_BYTES: usize = PIECE_TOKENS * BYTES_PER_TOKEN;

/// Number of tokens that `text` counts as.
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Hashes of the full pieces of `prompt`. Each covers all text before it as well, so that equal
/// hashes mean equal prefixes.
pub fn piece_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    prompt
        .as_bytes()
        .chunks_exact(PIECE_BYTES)
        .scan(seed, |hash, piece| {
            *hash = xxh3_64_with_seed(piece, *hash);
            Some(*hash)
        })
        .collect()
}
