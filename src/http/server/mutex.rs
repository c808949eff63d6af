//! Locking of mutexes that may be poisoned.

use std::sync::{Mutex, MutexGuard};

/// Locks `mutex`, even if another thread panicked while holding it: no code leaves the guarded value in an
/// inconsistent state.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
