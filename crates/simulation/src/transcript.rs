//! Digest of all messages that cross the network of a simulation. Equal digests show that a change of the code did
//! not change its behavior.
//!
//! Store transactions and their results, cloud calls, commands to workers, answers to users and workers, and peer
//! frames go into one SHA-256 digest, byte for byte, in the order of simulated time.

use sha2::{Digest, Sha256};

/// Kind of a message in the transcript.
#[derive(Clone, Copy, Debug)]
pub enum Channel {
    /// Request to the key-value store and its result.
    Store,
    /// Request to the cloud and its result.
    Cloud,
    /// Direct commands to a worker.
    Worker,
    /// Request of a user or worker to a controller, and its answer.
    Controller,
    /// Frame from one controller to another, and its reply.
    Peer,
}

/// Digest of all messages of a simulation so far.
#[derive(Debug, Default)]
pub struct Transcript {
    digest: Sha256,
    entries: u64,
}

impl Transcript {
    /// Adds a message that consists of these parts.
    pub fn add(&mut self, now_us: u64, channel: Channel, parts: &[&[u8]]) {
        self.entries += 1;
        self.digest.update([channel as u8]);
        self.digest.update(now_us.to_le_bytes());
        for part in parts {
            self.digest.update((part.len() as u64).to_le_bytes());
            self.digest.update(part);
        }
    }

    /// Number of messages and their digest in hexadecimal.
    pub fn summary(&self) -> String {
        let digest = self.digest.clone().finalize();
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{} messages, sha256 {hex}", self.entries)
    }
}
