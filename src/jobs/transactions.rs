//! How pending writes share transactions and tokens.

use super::PendingWrite;

/// Packs writes into transactions of at most `max_changes` changes and `max_bytes` bytes of JSON. Their
/// order stays, and each write stays whole.
pub fn pack_transactions(
    writes: Vec<PendingWrite>,
    max_changes: usize,
    max_bytes: usize,
) -> Vec<Vec<PendingWrite>> {
    let mut transactions: Vec<Vec<PendingWrite>> = Vec::new();
    let (mut changes, mut bytes) = (0, 0);
    for write in writes {
        let (own_changes, own_bytes) = (write.changes.len(), write.json_len());
        let fits = changes + own_changes <= max_changes && bytes + own_bytes <= max_bytes;
        match transactions.last_mut() {
            Some(transaction) if fits => {
                transaction.push(write);
                changes += own_changes;
                bytes += own_bytes;
            }
            _ => {
                transactions.push(vec![write]);
                (changes, bytes) = (own_changes, own_bytes);
            }
        }
    }
    transactions
}

/// As many of the writes, in their order, as there are tokens for; each change takes one of the `tokens`.
/// A write that is too large stops the others: else small ones would always go before it.
pub fn take_affordable(writes: Vec<PendingWrite>, tokens: &mut usize) -> Vec<PendingWrite> {
    let mut taken = Vec::new();
    for write in writes {
        let changes = write.changes.len();
        if changes > *tokens {
            break;
        }
        *tokens -= changes;
        taken.push(write);
    }
    taken
}
