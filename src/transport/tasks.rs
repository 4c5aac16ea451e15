//! A set of tasks that its owner joins or aborts.

use std::{
    cell::RefCell,
    future::{Future, poll_fn},
    rc::Rc,
};

use hyper::rt::Executor;
use tokio::task::{AbortHandle, JoinSet};

/// A set of tasks on the current thread; clones share the set.
#[derive(Debug, Clone, Default)]
pub struct Tasks(Rc<RefCell<JoinSet<()>>>);

impl Tasks {
    /// Spawns a task.
    pub fn spawn<F: Future<Output = ()> + 'static>(&self, task: F) -> AbortHandle {
        let mut set = self.0.borrow_mut();
        while set.try_join_next().is_some() {}
        set.spawn_local(task)
    }

    /// Number of tasks that have not ended.
    pub fn len(&self) -> usize {
        let mut set = self.0.borrow_mut();
        while set.try_join_next().is_some() {}
        set.len()
    }

    /// Whether all tasks have ended.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until all tasks have ended, including those spawned while it waits.
    pub async fn join(&self) {
        while poll_fn(|cx| self.0.borrow_mut().poll_join_next(cx))
            .await
            .is_some()
        {}
    }

    /// Aborts all tasks and waits until they have ended.
    pub async fn abort(&self) {
        self.0.borrow_mut().abort_all();
        self.join().await;
    }
}

impl<F> Executor<F> for Tasks
where
    F: Future + 'static,
    F::Output: 'static,
{
    fn execute(&self, task: F) {
        self.spawn(async move {
            task.await;
        });
    }
}
