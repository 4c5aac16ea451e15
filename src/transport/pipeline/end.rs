//! Ends of connections whose bytes are not read for now.

use std::{
    cell::Cell,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// Bounds the number of connections whose end is waited for, as each may take a descriptor.
#[derive(Debug, Clone)]
pub struct EndSlots {
    used: Rc<Cell<usize>>,
    max: usize,
}

impl EndSlots {
    /// Room for `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            used: Rc::default(),
            max,
        }
    }

    /// Waits for `end` if there is room; `end` is called only then.
    ///
    /// ```
    /// use comfreybay::transport::pipeline::end::EndSlots;
    /// let slots = EndSlots::new(1);
    /// let first = slots.watch(std::future::pending::<()>);
    /// assert!(first.is_some());
    /// assert!(slots.watch(std::future::pending::<()>).is_none());
    /// drop(first);
    /// assert!(slots.watch(std::future::pending::<()>).is_some());
    /// ```
    pub fn watch<E>(&self, end: impl FnOnce() -> E) -> Option<EndWatch<E>> {
        if self.used.get() >= self.max {
            return None;
        }
        self.used.update(|n| n + 1);
        let slot = Slot(self.used.clone());
        Some(EndWatch {
            end: end(),
            _slot: slot,
        })
    }
}

/// One of the slots, free again when it is dropped.
#[derive(Debug)]
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.update(|n| n - 1);
    }
}

/// Waits for the end of a connection.
#[derive(Debug)]
pub struct EndWatch<E> {
    end: E,
    _slot: Slot,
}

impl<E: Future<Output = ()> + Unpin> Future for EndWatch<E> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.end).poll(cx)
    }
}
