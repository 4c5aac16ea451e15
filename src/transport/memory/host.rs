use std::{
    cell::{Cell, RefCell},
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use tokio::task::LocalSet;

/// How a host stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostEnd {
    /// The main future returned.
    Done,
    /// The process was crashed.
    Crashed,
}

#[derive(Debug, Default)]
struct ProcessState {
    crashed: Cell<bool>,
    paused: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// Handle to one simulated process; cheap to clone.
///
/// Connections of a crashed process are reset instead of closed.
#[derive(Debug, Clone, Default)]
pub struct Process(Rc<ProcessState>);

impl Process {
    /// Stops polling the tasks of the process. Its connections stay open and its listeners keep
    /// their backlog.
    pub fn pause(&self) {
        self.0.paused.set(true);
    }

    /// Resumes polling the tasks of the process.
    pub fn resume(&self) {
        self.0.paused.set(false);
        self.wake();
    }

    /// Crashes the process: all its tasks are dropped and its connections are reset.
    pub fn crash(&self) {
        self.0.crashed.set(true);
        self.wake();
    }

    /// Whether the process was crashed.
    pub fn crashed(&self) -> bool {
        self.0.crashed.get()
    }

    /// Whether the process is paused.
    pub fn paused(&self) -> bool {
        self.0.paused.get()
    }

    fn wake(&self) {
        if let Some(waker) = self.0.waker.take() {
            waker.wake();
        }
    }
}

type Main = Pin<Box<dyn Future<Output = ()>>>;

/// The tasks of one process.
///
/// They run in a `LocalSet`, which is not polled while the process is paused and is dropped when it
/// crashes or its main future returns.
pub struct Host {
    process: Process,
    set: Option<LocalSet>,
    main: Option<Main>,
}

impl Host {
    /// Creates a host that runs `main`. Tasks that `main` spawns with `spawn_local` belong to the
    /// host.
    pub fn new(process: Process, main: impl Future<Output = ()> + 'static) -> Self {
        Self {
            process,
            set: Some(LocalSet::new()),
            main: Some(Box::pin(main)),
        }
    }

    /// Drops all tasks.
    fn clear(&mut self) {
        self.main = None;
        self.set = None;
    }
}

impl Future for Host {
    type Output = HostEnd;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<HostEnd> {
        let this = &mut *self;
        if this.process.crashed() {
            this.clear();
            return Poll::Ready(HostEnd::Crashed);
        }
        *this.process.0.waker.borrow_mut() = Some(cx.waker().clone());
        if this.process.paused() {
            return Poll::Pending;
        }
        let (Some(set), Some(main)) = (&mut this.set, &mut this.main) else {
            return Poll::Ready(HostEnd::Done);
        };
        let ended = {
            let run = std::pin::pin!(set.run_until(main));
            run.poll(cx).is_ready()
        };
        if this.process.crashed() {
            this.clear();
            return Poll::Ready(HostEnd::Crashed);
        }
        if !ended {
            return Poll::Pending;
        }
        this.clear();
        Poll::Ready(HostEnd::Done)
    }
}
