//! Requests behind the one in progress on a connection.

use std::{
    cell::Cell,
    collections::VecDeque,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream::FuturesUnordered};
use http::{HeaderMap, Method, Response, Uri, request::Parts};
use http_body::Body;

use super::{
    BytesHeld, REQUESTS_MAX, UNREAD_MAX_BYTES,
    answer::{Answer, Charge},
    head::{self, Head},
    request_body::RequestBody,
};
use crate::transport::body::BUFFER_MAX_BYTES;

/// The next head of the unread bytes.
pub enum Next {
    /// It may be started.
    Startable(Box<Parts>, usize),
    /// It waits: for its end, for its turn, or for room within the bounds.
    Waits,
}

/// A request that was started before its turn.
struct Started<B: Body> {
    number: u64,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    /// Bytes of its head that the HTTP library has not got.
    unread: usize,
    /// Charge for its response, until that has arrived.
    reserved: Option<Charge>,
    response: Option<Response<Answer<B>>>,
}

/// Unread bytes of a connection, and the requests among them that were started.
pub struct Queue<F, B: Body> {
    unread: BytesMut,
    /// Bytes of `unread` that are heads of started requests.
    started_bytes: usize,
    /// Bytes of the next head that were searched for its end.
    searched: usize,
    /// Whether the next head has to wait until it is first in line.
    is_held: bool,
    /// Whether the next head was counted as held or found beyond a bound.
    is_counted: bool,
    started: VecDeque<Started<B>>,
    /// Whether the HTTP library has read the head of the first started request.
    is_first_taken: bool,
    running: FuturesUnordered<Numbered<F>>,
    next_number: u64,
    charged: Rc<Cell<BytesHeld>>,
}

impl<F, B> Default for Queue<F, B>
where
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + Unpin,
{
    fn default() -> Self {
        Self {
            unread: BytesMut::new(),
            started_bytes: 0,
            searched: 0,
            is_held: false,
            is_counted: false,
            started: VecDeque::new(),
            is_first_taken: false,
            running: FuturesUnordered::new(),
            next_number: 0,
            charged: Rc::default(),
        }
    }
}

impl<F, B> Queue<F, B>
where
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + Unpin,
{
    /// Adds bytes that the caller has sent.
    pub fn push(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    /// Whether no more is read from the caller for now.
    pub fn is_full(&self) -> bool {
        self.unread.len() >= UNREAD_MAX_BYTES
    }

    /// Whether the HTTP library has got all bytes.
    pub fn is_read(&self) -> bool {
        self.unread.is_empty()
    }

    /// The bytes that the HTTP library has not got.
    pub fn unread(&self) -> &[u8] {
        &self.unread
    }

    /// Memory that the bytes take which the HTTP library has not got.
    pub fn unread_memory(&self) -> usize {
        self.unread.capacity()
    }

    /// Whether no request that was started waits for its turn.
    pub fn is_empty(&self) -> bool {
        self.started.is_empty()
    }

    /// The next head that is not started; `on_held` is called once for each one that has to wait
    /// although it is complete.
    pub fn next(
        &mut self,
        node: &Cell<BytesHeld>,
        is_startable: impl FnOnce(&Parts) -> bool,
        on_held: impl FnOnce(),
    ) -> Next {
        let bytes = &self.unread[self.started_bytes..];
        if self.is_held || bytes.len() == self.searched {
            return Next::Waits;
        }
        let room = self.started.len() + 1 < REQUESTS_MAX
            && BytesHeld::may_add(self.charged.get(), node.get(), BUFFER_MAX_BYTES);
        if !room {
            if !self.is_counted {
                self.is_counted = true;
                on_held();
            }
            return Next::Waits;
        }
        match head::read(bytes) {
            Head::Partial => {
                self.searched = bytes.len();
                Next::Waits
            }
            Head::Complete(head, length) if is_startable(&head) => Next::Startable(head, length),
            Head::Complete(..) | Head::Opaque => {
                self.is_held = true;
                if !self.is_counted {
                    on_held();
                }
                Next::Waits
            }
        }
    }

    /// Adds a request whose head of `length` bytes is the next one.
    pub fn start(&mut self, head: &Parts, length: usize, future: F, node: &Rc<Cell<BytesHeld>>) {
        let number = self.next_number;
        self.next_number += 1;
        self.started_bytes += length;
        self.begin_head();
        self.started.push_back(Started {
            number,
            method: head.method.clone(),
            uri: head.uri.clone(),
            headers: head.headers.clone(),
            unread: length,
            reserved: Some(Charge::new(&self.charged, node, BUFFER_MAX_BYTES)),
            response: None,
        });
        self.running.push(Numbered {
            number,
            future: Box::pin(future),
        });
    }

    fn begin_head(&mut self) {
        self.searched = 0;
        self.is_held = false;
        self.is_counted = false;
    }

    /// Polls the started requests and the responses that wait; returns whether the request that has
    /// its turn has been answered now. `give_up` makes the response that replaces one for which there
    /// is no room.
    pub fn poll(
        &mut self,
        cx: &mut Context<'_>,
        stalled: &Rc<Cell<usize>>,
        give_up: impl Fn() -> Option<Response<B>>,
    ) -> bool {
        let mut is_answered = false;
        while let Poll::Ready(Some((number, response))) = Pin::new(&mut self.running).poll_next(cx)
        {
            let mut requests = self.started.iter_mut().enumerate();
            let Some((at, request)) = requests.find(|(_, r)| r.number == number) else {
                continue;
            };
            is_answered |= at == 0 && self.is_first_taken;
            let charge = request.reserved.take();
            request.response = Some(response.map(|body| match charge {
                Some(charge) => Answer::waiting(body, charge),
                None => Answer::new(body),
            }));
        }
        for (at, request) in self.started.iter_mut().enumerate() {
            if let Some(response) = &mut request.response
                && !(at == 0 && self.is_first_taken)
                && !response.body_mut().read_ahead(cx, stalled)
                && let Some(replacement) = give_up()
            {
                *response = replacement.map(Answer::new);
            }
        }
        is_answered
    }

    /// Bytes of the head of the first started request that the HTTP library has not got.
    pub fn first_unread(&self) -> Option<usize> {
        self.started.front().map(|first| first.unread)
    }

    /// Takes the first bytes for the HTTP library, at most `max` and up to the end of a started head.
    pub fn take(&mut self, max: usize) -> BytesMut {
        let size = match self.started.front_mut() {
            Some(first) => {
                let size = first.unread.min(max);
                first.unread -= size;
                self.started_bytes -= size;
                size
            }
            None => {
                self.begin_head();
                self.unread.len().min(max)
            }
        };
        self.split(size)
    }

    /// Takes up to `max` bytes for the HTTP library that belong to `body`.
    pub fn take_body(&mut self, max: usize, body: &mut RequestBody) -> BytesMut {
        self.begin_head();
        let size = body.take(&self.unread[..self.unread.len().min(max)]);
        self.split(size)
    }

    fn split(&mut self, size: usize) -> BytesMut {
        if size == self.unread.len() {
            return std::mem::take(&mut self.unread);
        }
        self.unread.split_to(size)
    }

    /// Notes that the HTTP library has read this head. Returns whether it is that of the first
    /// started request, or `None` if it is another one although requests were started.
    pub fn take_turn(&mut self, head: &Request<'_>) -> Option<bool> {
        let Some(first) = self.started.front() else {
            return Some(false);
        };
        let is_same = !self.is_first_taken
            && first.unread == 0
            && (&first.method, &first.uri, &first.headers) == (head.method, head.uri, head.headers);
        self.is_first_taken = is_same;
        is_same.then_some(true)
    }

    /// The response of the first started request, once it has its turn and a response.
    pub fn pop(&mut self) -> Option<Response<Answer<B>>> {
        let response = self.started.front_mut()?.response.take()?;
        self.started.pop_front();
        self.is_first_taken = false;
        Some(response)
    }
}

/// The parts of a head that identify it.
pub struct Request<'a> {
    /// The method.
    pub method: &'a Method,
    /// The target.
    pub uri: &'a Uri,
    /// The headers, in any order of names.
    pub headers: &'a HeaderMap,
}

/// A future with a number, which its result carries.
struct Numbered<F> {
    number: u64,
    future: Pin<Box<F>>,
}

impl<F: Future> Future for Numbered<F> {
    type Output = (u64, F::Output);

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let number = self.number;
        self.future.as_mut().poll(cx).map(|output| (number, output))
    }
}
