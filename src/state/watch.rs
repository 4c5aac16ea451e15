//! A channel for a single value whose changes can be awaited, for use within one thread.
//!
//! `tokio::sync::watch` wakes its receivers in a random order that can't be seeded, so runs with
//! the same seed would differ. Here they are woken in the order in which they began to wait.

use std::{
    cell::{Cell, Ref, RefCell},
    rc::Rc,
};

use thiserror::Error;
use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Shared<T> {
    value: RefCell<T>,
    version: Cell<u64>,
    closed: Cell<bool>,
    changed: Notify,
}

/// The sender was dropped, so the value won't change any more.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
#[error("could not wait for a change: the sender was dropped")]
pub struct Closed;

/// The half that changes the value.
///
/// ```
/// use comfreybay::state::watch::Sender;
/// let sender = Sender::new(1);
/// let mut receiver = sender.subscribe();
/// sender.send_replace(2);
/// assert_eq!(receiver.has_changed(), Ok(true));
/// assert_eq!(*receiver.borrow_and_update(), 2);
/// assert_eq!(receiver.has_changed(), Ok(false));
/// ```
#[derive(Debug, Default)]
pub struct Sender<T>(Rc<Shared<T>>);

impl<T> Sender<T> {
    /// A sender with this initial value.
    pub fn new(value: T) -> Self {
        Self(Rc::new(Shared {
            value: RefCell::new(value),
            version: Cell::new(0),
            closed: Cell::new(false),
            changed: Notify::new(),
        }))
    }

    /// A receiver that has seen the current value.
    pub fn subscribe(&self) -> Receiver<T> {
        Receiver {
            shared: self.0.clone(),
            seen: self.0.version.get(),
        }
    }

    /// The current value.
    pub fn borrow(&self) -> Ref<'_, T> {
        self.0.value.borrow()
    }

    /// Replaces the value and returns the old one.
    pub fn send_replace(&self, value: T) -> T {
        let old = self.0.value.replace(value);
        self.notify();
        old
    }

    /// Changes the value in place.
    pub fn send_modify(&self, change: impl FnOnce(&mut T)) {
        change(&mut self.0.value.borrow_mut());
        self.notify();
    }

    fn notify(&self) {
        self.0.version.set(self.0.version.get() + 1);
        self.0.changed.notify_waiters();
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.0.closed.set(true);
        self.0.changed.notify_waiters();
    }
}

/// The half that reads the value and waits for its changes.
#[derive(Debug)]
pub struct Receiver<T> {
    shared: Rc<Shared<T>>,
    seen: u64,
}

impl<T> Receiver<T> {
    /// The current value, without marking it as seen.
    pub fn borrow(&self) -> Ref<'_, T> {
        self.shared.value.borrow()
    }

    /// The current value, marking it as seen.
    pub fn borrow_and_update(&mut self) -> Ref<'_, T> {
        self.seen = self.shared.version.get();
        self.shared.value.borrow()
    }

    /// Marks the current value as not seen.
    pub fn mark_changed(&mut self) {
        self.seen = self.shared.version.get().wrapping_sub(1);
    }

    /// Marks the current value as seen.
    pub fn mark_unchanged(&mut self) {
        self.seen = self.shared.version.get();
    }

    /// Whether there is a value that has not been seen.
    ///
    /// # Errors
    /// The sender was dropped.
    pub fn has_changed(&self) -> Result<bool, Closed> {
        match self.shared.closed.get() {
            true => Err(Closed),
            false => Ok(self.shared.version.get() != self.seen),
        }
    }

    /// Waits for a value that has not been seen, and marks it as seen.
    ///
    /// # Errors
    /// The sender was dropped and its last value has been seen.
    pub async fn changed(&mut self) -> Result<(), Closed> {
        loop {
            let version = self.shared.version.get();
            if version != self.seen {
                self.seen = version;
                return Ok(());
            }
            if self.shared.closed.get() {
                return Err(Closed);
            }
            self.shared.changed.notified().await;
        }
    }
}
