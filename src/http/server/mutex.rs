//! Locking that survives a panic.

use std::sync::{Mutex, MutexGuard};

/// Locks `mutex`, also after another thread panicked while holding it: no holder leaves the guarded
/// value half changed.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
