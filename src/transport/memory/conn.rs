use std::{
    cell::RefCell,
    collections::VecDeque,
    future::Future,
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
use crate::transport::net::Conn;

/// Most unread bytes in one direction of a connection; a writer waits for room beyond this.
const WINDOW_BYTES: usize = 256 * 1_024;
/// First retransmission timeout, the same as on Linux; doubles with each loss.
pub(super) const RETRANSMIT_MS: u64 = 200;

/// Content of a segment.
enum Content {
    Data(Bytes),
    /// The writer has closed its direction.
    Fin,
    /// The connection was reset.
    Reset,
}

struct Segment {
    sent: Instant,
    /// Time of arrival at the reader.
    due: Instant,
    content: Content,
}

impl Segment {
    fn is_last(&self) -> bool {
        !matches!(self.content, Content::Data(_))
    }
}

/// One direction of a connection.
pub(super) struct Pipe {
    from: IpAddr,
    to: IpAddr,
    /// Port of the listener, for the count of traffic.
    port: u16,
    queue: VecDeque<Segment>,
    /// Unread bytes in `queue`.
    buffered: usize,
    /// Arrival time of the newest segment; later segments don't overtake it.
    last_due: Instant,
    reader: Option<Waker>,
    /// Waits for the last segment.
    end: Option<Waker>,
    writer: Option<Waker>,
    /// When the writer learns that the reader has closed the connection.
    reader_closed: Option<Instant>,
    /// Whether the last segment, `Fin` or `Reset`, has been sent.
    finished: bool,
    /// Whether nothing arrives any more, although no end shows an error.
    silent: bool,
}

impl Pipe {
    pub(super) fn new(from: IpAddr, to: IpAddr, port: u16) -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Self {
            from,
            to,
            port,
            queue: VecDeque::new(),
            buffered: 0,
            last_due: Instant::now(),
            reader: None,
            end: None,
            writer: None,
            reader_closed: None,
            finished: false,
            silent: false,
        }))
    }

    /// The sending and the receiving host.
    pub(super) fn hosts(&self) -> (IpAddr, IpAddr) {
        (self.from, self.to)
    }

    /// Port of the listener that accepted the connection.
    pub(super) fn port(&self) -> u16 {
        self.port
    }

    /// Delivers nothing from now on, also no end of the connection.
    pub(super) fn silence(&mut self) {
        self.silent = true;
    }

    /// Resumes delivery when a cut ends. Data that the cut has delayed arrives with the next
    /// retransmission of the sender.
    pub(super) fn resume(&mut self, now: Instant, latency: Duration) {
        if let Some(front) = self.queue.front_mut()
            && front.due <= now
        {
            let mut timeout = Duration::from_millis(RETRANSMIT_MS);
            let mut next = front.sent + timeout;
            while next < now {
                timeout *= 2;
                next += timeout;
            }
            front.due = next + latency;
        }
        wake(&mut self.reader);
        wake(&mut self.end);
        wake(&mut self.writer);
    }

    /// Queues a segment with its arrival time and wakes the reader.
    fn push(&mut self, network: &Network, content: Content) {
        let now = Instant::now();
        let due = (now + network.delay(self.from, self.to)).max(self.last_due);
        self.last_due = due;
        self.queue.push_back(Segment {
            sent: now,
            due,
            content,
        });
        wake(&mut self.reader);
        wake(&mut self.end);
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

/// One end of a connection of the in-memory network.
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

    /// Sets the process that accepted a connection from the backlog as its owner.
    pub(super) fn owned_by(mut self, process: &Process) -> Self {
        self.process = process.clone();
        self
    }

    /// Wakes the task of `cx` at `due`.
    fn wait_until(&mut self, due: Instant, cx: &mut Context<'_>) {
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
        let blocked = pipe.silent || this.network.blocked(from, to);
        let Some(front) = pipe.queue.front_mut() else {
            pipe.reader = Some(cx.waker().clone());
            return Poll::Pending;
        };
        if blocked || front.due > Instant::now() {
            let due = front.due;
            pipe.reader = Some(cx.waker().clone());
            if !blocked {
                this.wait_until(due, cx);
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
        pipe.buffered -= size;
        if empty {
            pipe.queue.pop_front();
        }
        wake(&mut pipe.writer);
        this.network.count_received(to, port, size);
        Poll::Ready(Ok(()))
    }
}

impl Conn for MemoryConn {
    type End = MemoryEnd;

    fn end(&self) -> MemoryEnd {
        MemoryEnd {
            network: self.network.clone(),
            inbound: self.inbound.clone(),
            timer: None,
        }
    }
}

/// Waits for the last segment of a connection to arrive.
pub struct MemoryEnd {
    network: Network,
    inbound: Rc<RefCell<Pipe>>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Future for MemoryEnd {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let inbound = self.inbound.clone();
        let mut pipe = inbound.borrow_mut();
        pipe.end = Some(cx.waker().clone());
        if pipe.silent || self.network.blocked(pipe.from, pipe.to) {
            return Poll::Pending;
        }
        let last = pipe.queue.back();
        let Some(due) = last.filter(|s| s.is_last()).map(|s| s.due) else {
            return Poll::Pending;
        };
        let timer = self.timer.insert(Box::pin(sleep_until(due)));
        timer.as_mut().poll(cx)
    }
}

impl AsyncWrite for MemoryConn {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut pipe = self.outbound.borrow_mut();
        let back_blocked = pipe.silent || self.network.blocked(pipe.to, pipe.from);
        let has_arrived = |at: Instant| at <= Instant::now() && !back_blocked;
        if pipe.finished || pipe.reader_closed.is_some_and(has_arrived) {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if data.is_empty() {
            // The reader would take an empty segment for the end of the stream.
            return Poll::Ready(Ok(0));
        }
        let size = data.len().min(WINDOW_BYTES - pipe.buffered);
        if size == 0 {
            pipe.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        pipe.buffered += size;
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
            pipe.reader_closed = Some(now + delay);
            wake(&mut pipe.writer);
            let is_unread = |s: &Segment| matches!(s.content, Content::Data(_)) && s.due <= now;
            pipe.queue.iter().any(is_unread)
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
