//! Content of a prompt whose text is known.
//!
//! Load pattern: prompts that begin alike and go on differently crash every upstream. Where the
//! shared beginning ends is not known, so a prompt has a piece of content for each of several
//! lengths of its beginning.

use xxhash_rust::xxh3::Xxh3;

use super::ContentId;
use crate::ids::Fingerprint;

/// Length of the shortest beginning in bytes.
const MIN_PREFIX_BYTES: usize = 16;

/// Number of lengths. They grow by a half and by a third in turn, up to 384 KiB.
const PREFIX_LENGTHS: u32 = 30;

/// Returns the content of a prompt: the whole request with its account, and the beginnings of the
/// prompt for the model, shortest first.
pub fn prompt_contents(request: Fingerprint, model: &str, prompt: &str) -> Vec<ContentId> {
    #[expect(clippy::cast_possible_truncation, reason = "64 of 128 bits of a hash")]
    let mut contents = vec![ContentId(request.0 as u64)];
    let mut hash = Xxh3::new();
    hash.update(&(model.len() as u64).to_le_bytes());
    hash.update(model.as_bytes());
    let mut hashed = 0;
    for len in (0..PREFIX_LENGTHS).map(prefix_bytes) {
        let Some(part) = prompt.as_bytes().get(hashed..len) else {
            break;
        };
        hash.update(part);
        hashed = len;
        contents.push(ContentId(hash.digest()));
    }
    contents
}

fn prefix_bytes(step: u32) -> usize {
    let octave = MIN_PREFIX_BYTES << (step / 2);
    octave + octave / 2 * (step as usize % 2)
}
