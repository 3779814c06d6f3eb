//! Prefix blocks, into which engines split a prompt for their prefix cache, and their hashes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of text per token, for estimates without the engine's tokenizer.
pub const BYTES_PER_TOKEN: usize = 4;

/// Number of tokens in one prefix block.
pub const PREFIX_BLOCK_TOKENS: usize = 2_048;

/// Number of bytes of prompt text in one prefix block.
pub const PREFIX_BLOCK_BYTES: usize = PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN;

/// Estimates the number of tokens in `text` as one per [`BYTES_PER_TOKEN`] bytes, rounded up.
pub fn estimate_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the hashes of the complete prefix blocks of `prompt`, in order. Each hash also covers
/// the model and all text before the block, so equal hashes mean equal prefixes.
pub fn prefix_block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    prompt
        .as_bytes()
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .scan(seed, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}
