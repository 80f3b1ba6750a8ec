//! How many bytes of checkpoints the stored progress of a job holds.
//!
//! A task whose checkpoint is not stored resumes from it under the present owner of the job, and
//! begins anew under the next one.

/// The most bytes of checkpoints in the stored progress of a job: a part of what a value of the
/// store may have, as callers also wait for writes of the progress.
const MAX_CHECKPOINT_BYTES: usize = 256 << 10;

/// The bytes of an escaped control character in JSON.
const ESCAPED_CONTROL_BYTES: usize = 6;

/// What is left of the bytes for checkpoints while a progress is made up.
#[derive(Debug)]
pub(crate) struct CheckpointBudget {
    left_bytes: usize,
    left_out: u32,
}

impl CheckpointBudget {
    /// Creates the budget of one progress.
    pub(crate) fn new() -> Self {
        Self {
            left_bytes: MAX_CHECKPOINT_BYTES,
            left_out: 0,
        }
    }

    /// Returns whether a checkpoint is stored, and takes its bytes from the budget.
    pub(crate) fn admits(&mut self, checkpoint: &str) -> bool {
        let bytes = encoded_bytes(checkpoint);
        let fits = bytes <= self.left_bytes;
        match fits {
            true => self.left_bytes -= bytes,
            false => self.left_out += 1,
        }
        fits
    }

    /// Returns how many checkpoints were left out.
    pub(crate) fn left_out(&self) -> u32 {
        self.left_out
    }
}

/// Returns the size of a text in JSON, in bytes, without its quotation marks.
fn encoded_bytes(text: &str) -> usize {
    let bytes_of = |byte: u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' => 2,
        byte if byte.is_ascii_control() => ESCAPED_CONTROL_BYTES,
        _ => 1,
    };
    text.bytes().map(bytes_of).sum()
}
