//! A stand-in for a sound upstream.

use std::{
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// A request that has reached an upstream.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub ran: bool,
    /// When the upstream had its answer, or stopped because its caller had gone.
    pub ended: Option<Instant>,
    /// Whether the caller had gone before.
    pub is_cut: bool,
}

/// An upstream; clones share its state.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub slots: u32,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    running: Arc<AtomicU32>,
}

impl Upstream {
    pub fn new(id: &str, slots: u32) -> Self {
        Self {
            id: id.to_owned(),
            slots,
            arrivals: Arc::default(),
            running: Arc::default(),
        }
    }

    pub fn serve(&self, at: SocketAddr) {
        let listener = TcpListener::bind(at).expect("the address of the upstream is free");
        let upstream = self.clone();
        thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                let upstream = upstream.clone();
                let builder = thread::Builder::new().stack_size(256 * 1_024);
                let _ = builder.spawn(move || upstream.serve_conn(conn));
            }
        });
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arrival>> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve_conn(&self, mut conn: TcpStream) {
        let _ = conn.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(head)) = http::read_head(&mut conn, rest) {
            let Ok((_, behind)) = http::read_body(&mut conn, head.rest.clone(), head.length())
            else {
                return;
            };
            rest = behind;
            let Some(answer) = self.answer(&head, &conn) else {
                return;
            };
            if conn.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Works on a request. A number behind the last `-` of its path is the time that it takes, in
    /// ms, and one behind the last `+` the size of the answer. `None` if the caller has gone.
    fn answer(&self, head: &http::Head, conn: &TcpStream) -> Option<Vec<u8>> {
        let id = head.get("x-attempt-id").to_owned();
        let expected = head.get("x-expect-instance");
        let target = head.line.split(' ').nth(1).unwrap_or_default();
        let number = |mark| {
            let (_, behind) = target.rsplit_once(mark)?;
            let digits: String = behind.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let is_other = !expected.is_empty() && expected != self.id;
        let refusal = match running >= self.slots {
            _ if is_other => Some(421),
            true => Some(503),
            false => None,
        };
        let arrival = Arrival {
            at: Instant::now(),
            id: id.clone(),
            ran: refusal.is_none(),
            ended: None,
            is_cut: false,
        };
        let mut arrivals = self.lock();
        let index = arrivals.len();
        arrivals.push(arrival);
        drop(arrivals);
        let mut is_cut = false;
        if refusal.is_none() {
            let left_ms = head.get("x-deadline-ms").parse().unwrap_or(60_000);
            let work = Duration::from_millis(number('-').unwrap_or(20).min(left_ms));
            is_cut = !work_for(conn, work);
        }
        let arrival = &mut self.lock()[index];
        (arrival.ended, arrival.is_cut) = (Some(Instant::now()), is_cut);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if is_cut {
            return None;
        }
        let load = format!("{running},0,{}", self.slots);
        if let Some(status) = refusal {
            let text = format!(
                "HTTP/1.1 {status} Refused\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\nx-server-load: {load}\r\ncontent-length: 0\r\n\r\n"
            );
            return Some(text.into_bytes());
        }
        let size = number('+').unwrap_or(64) as usize;
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: seal.{id}\r\nx-server-load: {load}\r\ncontent-length: {size}\r\n\r\n"
        )
        .into_bytes();
        answer.resize(answer.len() + size, b'a');
        Some(answer)
    }
}

/// Works for a time; returns whether the caller was there all the while.
fn work_for(conn: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    let _ = conn.set_nonblocking(true);
    let is_there = loop {
        match conn.peek(&mut [0]) {
            Ok(0) => break false,
            Err(error) if error.kind() != ErrorKind::WouldBlock => break false,
            _ => {}
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break true;
        }
        thread::sleep(left.min(Duration::from_millis(10)));
    };
    let _ = conn.set_nonblocking(false);
    is_there
}
