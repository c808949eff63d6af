//! Grouping of pending writes into transactions, and their share of the write budget.

use super::PendingWrite;

/// Packs writes into transactions of at most `max_changes` changes and `max_bytes` bytes of JSON. The order of the
/// writes is kept, and no write is split.
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

/// Takes writes from the front as long as there are tokens for them; each change costs one of the `tokens`. A write
/// that costs more than is left ends the selection, because otherwise smaller writes would always overtake it.
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
