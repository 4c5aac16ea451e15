use std::{
    cell::RefCell,
    collections::VecDeque,
    io,
    net::IpAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::{Buf, Bytes};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep_until},
};

use super::{host::Process, network::Network};

/// Bytes that one direction of a connection holds before the writer waits.
const WINDOW_BYTES: usize = 256 * 1_024;
/// First retransmission timeout, as on Linux; doubles with each loss.
pub(super) const RETRANSMIT_MS: u64 = 200;

enum Content {
    Data(Bytes),
    Fin,
    Reset,
}

struct Segment {
    sent: Instant,
    due: Instant,
    content: Content,
}

/// One direction of a connection.
pub(super) struct Pipe {
    from: IpAddr,
    to: IpAddr,
    port: u16,
    queue: VecDeque<Segment>,
    held: usize,
    last: Instant,
    reader: Option<Waker>,
    writer: Option<Waker>,
    closed: Option<Instant>,
    finished: bool,
}

impl Pipe {
    pub(super) fn new(from: IpAddr, to: IpAddr, port: u16) -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Self {
            from,
            to,
            port,
            queue: VecDeque::new(),
            held: 0,
            last: Instant::now(),
            reader: None,
            writer: None,
            closed: None,
            finished: false,
        }))
    }

    pub(super) fn ends(&self) -> (IpAddr, IpAddr) {
        (self.from, self.to)
    }

    /// Delays data that a cut held back to the sender's next retransmission after the heal.
    pub(super) fn healed(&mut self, now: Instant, latency: Duration) {
        if let Some(front) = self.queue.front_mut()
            && front.due <= now
        {
            let mut wait = Duration::from_millis(RETRANSMIT_MS);
            let mut next = front.sent + wait;
            while next < now {
                wait *= 2;
                next += wait;
            }
            front.due = next + latency;
        }
        wake(&mut self.reader);
        wake(&mut self.writer);
    }

    fn push(&mut self, network: &Network, content: Content) {
        let now = Instant::now();
        let due = (now + network.delay(self.from, self.to)).max(self.last);
        self.last = due;
        self.queue.push_back(Segment {
            sent: now,
            due,
            content,
        });
        wake(&mut self.reader);
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

/// One end of a connection in memory.
pub struct MemoryConn {
    network: Network,
    process: Process,
    inbound: Rc<RefCell<Pipe>>,
    outbound: Rc<RefCell<Pipe>>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl MemoryConn {
    pub(super) fn new(
        network: Network,
        process: Process,
        inbound: Rc<RefCell<Pipe>>,
        outbound: Rc<RefCell<Pipe>>,
    ) -> Self {
        Self {
            network,
            process,
            inbound,
            outbound,
            timer: None,
        }
    }

    /// Hands a connection from the backlog to the process that accepts it.
    pub(super) fn owned_by(mut self, process: &Process) -> Self {
        self.process = process.clone();
        self
    }

    fn wait(&mut self, due: Instant, cx: &mut Context<'_>) {
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
        timer.as_mut().reset(due);
        if timer.as_mut().poll(cx).is_ready() {
            cx.waker().wake_by_ref();
        }
    }
}

impl AsyncRead for MemoryConn {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let inbound = this.inbound.clone();
        let mut pipe = inbound.borrow_mut();
        let (from, to, port) = (pipe.from, pipe.to, pipe.port);
        let blocked = this.network.blocked(from, to);
        let Some(front) = pipe.queue.front_mut() else {
            pipe.reader = Some(cx.waker().clone());
            return Poll::Pending;
        };
        if blocked || front.due > Instant::now() {
            let due = front.due;
            pipe.reader = Some(cx.waker().clone());
            if !blocked {
                this.wait(due, cx);
            }
            return Poll::Pending;
        }
        let data = match &mut front.content {
            Content::Data(data) => data,
            Content::Fin => return Poll::Ready(Ok(())),
            Content::Reset => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        };
        let size = data.len().min(out.remaining());
        out.put_slice(&data[..size]);
        data.advance(size);
        let empty = data.is_empty();
        pipe.held -= size;
        if empty {
            pipe.queue.pop_front();
        }
        wake(&mut pipe.writer);
        this.network.count_received(to, port, size);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MemoryConn {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut pipe = self.outbound.borrow_mut();
        let back_blocked = self.network.blocked(pipe.to, pipe.from);
        let known = |at: Instant| at <= Instant::now() && !back_blocked;
        if pipe.finished || pipe.closed.is_some_and(known) {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if data.is_empty() {
            // An empty segment would look like the end of the stream to the reader.
            return Poll::Ready(Ok(0));
        }
        let size = data.len().min(WINDOW_BYTES - pipe.held);
        if size == 0 {
            pipe.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        pipe.held += size;
        pipe.push(
            &self.network,
            Content::Data(Bytes::copy_from_slice(&data[..size])),
        );
        self.network.count_sent(pipe.from, pipe.port, size);
        Poll::Ready(Ok(size))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut pipe = self.outbound.borrow_mut();
        if !pipe.finished {
            pipe.finished = true;
            pipe.push(&self.network, Content::Fin);
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for MemoryConn {
    fn drop(&mut self) {
        let now = Instant::now();
        let unread = {
            let mut pipe = self.inbound.borrow_mut();
            let delay = self.network.delay(pipe.to, pipe.from);
            pipe.closed = Some(now + delay);
            wake(&mut pipe.writer);
            let data = |s: &Segment| matches!(s.content, Content::Data(_)) && s.due <= now;
            pipe.queue.iter().any(data)
        };
        let mut pipe = self.outbound.borrow_mut();
        if self.process.crashed() || unread {
            pipe.push(&self.network, Content::Reset);
        } else if !pipe.finished {
            pipe.push(&self.network, Content::Fin);
        }
        pipe.finished = true;
    }
}
