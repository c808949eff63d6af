//! A digest of everything that crosses the network of a simulation: the proof that a change of the code's form
//! changed nothing of what it does.
//!
//! Store transactions and their results, cloud calls, commands to workers, answers to users and workers, and
//! peer frames go into one SHA-256 digest, byte for byte, in the order of simulated time.

use sha2::{Digest, Sha256};

/// What kind of message an entry of the transcript is.
#[derive(Clone, Copy, Debug)]
pub enum Channel {
    /// A request to the key-value store and its result.
    Store,
    /// A request to the cloud and its result.
    Cloud,
    /// Commands that went straight to a worker.
    Worker,
    /// A request of a user or worker to a controller, and the answer.
    Controller,
    /// A frame from one controller to another, and the reply.
    Peer,
}

/// The digest of all messages of one simulation so far.
#[derive(Debug, Default)]
pub struct Transcript {
    digest: Sha256,
    entries: u64,
}

impl Transcript {
    /// Adds a message, in as many parts as it has.
    pub fn add(&mut self, now_us: u64, channel: Channel, parts: &[&[u8]]) {
        self.entries += 1;
        self.digest.update([channel as u8]);
        self.digest.update(now_us.to_le_bytes());
        for part in parts {
            self.digest.update((part.len() as u64).to_le_bytes());
            self.digest.update(part);
        }
    }

    /// The number of messages and their digest, in hexadecimal.
    pub fn summary(&self) -> String {
        let digest = self.digest.clone().finalize();
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{} messages, sha256 {hex}", self.entries)
    }
}
