//! A backend server: runs requests, and can crash and start again at its address.

use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{Conn, Message},
    record::Record,
    store::Store,
};

/// What a request does at the server.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    Serve(Duration),
    /// Answers at once, with a body of this many bytes.
    Long(usize),
    /// Ends the process of the server.
    Crash,
}

/// How a server behaves.
#[derive(Debug, Clone, Copy)]
pub struct Manner {
    pub slots: u32,
    /// Time after which it closes an idle connection; stated in `Keep-Alive`.
    pub idle: Duration,
    pub work: fn(&Message) -> Work,
    /// Time until a crashed server is back.
    pub down: Duration,
}

pub struct Server {
    pub index: usize,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Start of the present run, in ms of Unix time.
    born: AtomicU64,
    starts: AtomicU64,
    is_up: AtomicBool,
    state: Mutex<&'static str>,
    open: Mutex<BTreeMap<u64, TcpStream>>,
    connections: AtomicU64,
    store: Arc<Store>,
    record: Arc<Record>,
    manner: Manner,
}

impl Server {
    pub fn new(
        index: usize,
        (service, zone): (&str, &str),
        address: SocketAddr,
        store: Arc<Store>,
        record: Arc<Record>,
        manner: Manner,
    ) -> Arc<Self> {
        Arc::new(Self {
            index,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: AtomicU64::new(now_ms()),
            starts: AtomicU64::new(1),
            is_up: AtomicBool::new(false),
            state: Mutex::new("ready"),
            open: Mutex::default(),
            connections: AtomicU64::default(),
            store,
            record,
            manner,
        })
    }

    /// Id of the present run; each start has another one.
    pub fn id(&self) -> String {
        format!("i-{}-{}", self.index, self.starts.load(Ordering::SeqCst))
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id())
    }

    /// Writes its entry into the store.
    pub fn report(&self) {
        let (address, service, zone) = (self.address, &self.service, &self.zone);
        let slots = self.manner.slots;
        let (born, state) = (
            self.born.load(Ordering::SeqCst),
            *self.state.lock().unwrap(),
        );
        let entry = format!(
            r#"{{"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{state}","seq":1,"cold_left_s":0.0}},"born":{born}}}"#
        );
        self.store.put(&self.key(), &entry);
    }

    pub fn start(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.is_up.store(true, Ordering::SeqCst);
        self.report();
        let server = self.clone();
        thread::spawn(move || server.accept(listener));
        Ok(())
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        while self.is_up.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let number = self.connections.fetch_add(1, Ordering::SeqCst);
            if let Ok(copy) = stream.try_clone() {
                self.open.lock().unwrap().insert(number, copy);
            }
            let server = self.clone();
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                loop {
                    let idle = Some(server.manner.idle);
                    let _ = conn.stream.set_read_timeout(idle);
                    let Ok(Some(request)) = conn.read() else {
                        break;
                    };
                    if !server.answer(&mut conn, &request) {
                        break;
                    }
                }
                let _ = conn.stream.shutdown(Shutdown::Both);
                server.open.lock().unwrap().remove(&number);
            });
        }
    }

    /// Reports that it drains; it goes on serving until [`Server::exit`].
    pub fn drain(&self) {
        *self.state.lock().unwrap() = "draining";
        self.report();
    }

    /// Leaves: ends what it still runs, and removes its entry.
    pub fn exit(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.store.remove(&self.key());
    }

    /// Ends all connections and the listener, and starts again later under another id.
    fn crash(self: &Arc<Self>) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (old, server) = (self.key(), self.clone());
        thread::spawn(move || {
            thread::sleep(server.manner.down);
            server.born.store(now_ms(), Ordering::SeqCst);
            server.starts.fetch_add(1, Ordering::SeqCst);
            while server.start().is_err() {
                thread::sleep(Duration::from_millis(20));
            }
            // The entry of the old run expires after three reports of silence.
            thread::sleep(Duration::from_millis(4_500).saturating_sub(server.manner.down));
            server.store.remove(&old);
        });
    }

    /// Answers one request; returns whether the connection stays open.
    fn answer(self: &Arc<Self>, conn: &mut Conn, request: &Message) -> bool {
        let id = request.header("x-attempt-id").to_owned();
        let echo = ("X-Attempt-Id", id.clone());
        let expected = request.header("x-expect-instance");
        if expected != self.id() {
            let headers = [
                echo,
                ("X-Instance-Id", self.id()),
                ("X-Not-Executed", "1".into()),
            ];
            return conn
                .write("HTTP/1.1 421 Misdirected Request", &headers, b"")
                .is_ok();
        }
        let run = self.record.began(self.index, &self.id(), request);
        let left = request.header("x-deadline-ms").parse().unwrap_or(0);
        let limit = Instant::now() + Duration::from_millis(left);
        let work = match (self.manner.work)(request) {
            Work::Crash => {
                self.record.ended(run, "the server crashed");
                self.crash();
                return false;
            }
            Work::Long(bytes) => {
                let headers = [echo, ("X-Server-Seal", format!("seal.{id}.{run}"))];
                let sent = conn.write_long(&headers, bytes).is_ok();
                let how = if sent {
                    "answered"
                } else {
                    "its connection closed"
                };
                self.record.ended(run, how);
                return sent;
            }
            Work::Serve(work) => work,
        };
        let in_time = limit.saturating_duration_since(Instant::now()).min(work);
        if conn.closed_within(in_time) {
            let cause = match self.is_up.load(Ordering::SeqCst) {
                true => "its connection closed",
                false => "the server crashed",
            };
            self.record.ended(run, cause);
            return false;
        }
        let (status, sealed) = match in_time < work {
            true => ("HTTP/1.1 504 Gateway Timeout", b"".to_vec()),
            false => ("HTTP/1.1 200 OK", format!("{id} {run}").into_bytes()),
        };
        self.record.ended(run, status);
        let headers = [
            echo,
            ("X-Server-Seal", format!("seal.{id}.{run}")),
            (
                "Keep-Alive",
                format!("timeout={}", self.manner.idle.as_secs()),
            ),
        ];
        conn.write(status, &headers, &sealed).is_ok()
    }
}

pub fn now_ms() -> u64 {
    let now = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    now.as_millis() as u64
}
