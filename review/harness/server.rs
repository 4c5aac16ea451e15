//! Stand-in for a backend server.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc::{Receiver, channel},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{http, record::Record, store::Store};

pub const SLOTS: u32 = 16;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A backend server; clones share its state.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    pub service: String,
    zone: String,
    store: Store,
    record: Record,
    run: Arc<Mutex<Run>>,
}

/// One run of a server.
struct Run {
    id: String,
    born: u128,
    is_up: Arc<AtomicBool>,
    conns: Vec<TcpStream>,
    /// Reports that the listener is closed.
    listener_end: Option<Receiver<()>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Self> {
        let run = Run {
            id: String::new(),
            born: 0,
            is_up: Arc::default(),
            conns: Vec::new(),
            listener_end: None,
        };
        let server = Self {
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            store: store.clone(),
            record: record.clone(),
            run: Arc::new(Mutex::new(run)),
        };
        server.begin()?;
        Ok(server)
    }

    pub fn id(&self) -> String {
        self.run.lock().unwrap().id.clone()
    }

    /// Starts a new run with a new id, and registers it.
    fn begin(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let is_up = Arc::new(AtomicBool::new(true));
        {
            let mut run = self.run.lock().unwrap();
            run.id = format!("i-{:08x}", NEXT_ID.fetch_add(1, Ordering::Relaxed) * 0x9e37);
            let born = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            run.born = born.as_millis();
            run.is_up = is_up.clone();
        }
        self.report("ready");
        let (closed, listener_end) = channel();
        self.run.lock().unwrap().listener_end = Some(listener_end);
        let server = self.clone();
        thread::spawn(move || {
            while is_up.load(Ordering::Relaxed) {
                let Ok((conn, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let own = server.clone();
                if conn.set_nonblocking(false).is_err() || conn.set_nodelay(true).is_err() {
                    continue;
                }
                if let Ok(copy) = conn.try_clone() {
                    own.run.lock().unwrap().conns.push(copy);
                }
                let is_up = is_up.clone();
                thread::spawn(move || own.serve(conn, &is_up));
            }
            drop(listener);
            let _ = closed.send(());
        });
        Ok(())
    }

    /// Writes the server's entry.
    pub fn report(&self, state: &str) -> std::time::Instant {
        let run = self.run.lock().unwrap();
        let (id, born) = (&run.id, run.born);
        let (address, service, zone) = (self.address, &self.service, &self.zone);
        let entry = format!(
            r#"{{"address":"{address}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{SLOTS}}},"status":{{"state":"{state}","seq":4,"cold_left_s":0}}}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry)
    }

    /// Ends the run at once.
    fn end(&self) -> String {
        let mut run = self.run.lock().unwrap();
        run.is_up.store(false, Ordering::Relaxed);
        // Connections are refused before the open ones end.
        let listener_end = run.listener_end.take();
        drop(run);
        listener_end.and_then(|end| end.recv().ok());
        let mut run = self.run.lock().unwrap();
        for conn in run.conns.drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
        run.id.clone()
    }

    /// Ends a drained run, removes its entry, and starts the next one.
    pub fn replace(&self) -> std::io::Result<()> {
        let id = self.end();
        self.store.remove(&format!("servers/{id}"));
        thread::sleep(Duration::from_millis(500));
        self.begin()
    }

    fn serve(&self, mut conn: TcpStream, is_up: &AtomicBool) {
        let id = self.id();
        while let Ok(Some(request)) = http::read(&mut conn) {
            if !is_up.load(Ordering::Relaxed) {
                return;
            }
            if self.respond(&mut conn, &id, &request).is_err() {
                return;
            }
        }
    }

    fn respond(
        &self,
        conn: &mut TcpStream,
        id: &str,
        request: &http::Message,
    ) -> std::io::Result<()> {
        let target = request.target();
        if target == "/health" {
            return http::write(conn, "HTTP/1.1 200 OK", &[("X-Instance-Id", id)], b"");
        }
        let attempt = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let headers = [("X-Attempt-Id", attempt.as_str()), ("X-Instance-Id", id)];
            return http::write(conn, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        self.record.run(&self.service, id, &attempt, target);
        thread::sleep(Duration::from_millis(20));
        let seal = format!("{id}.{attempt}");
        let headers = [
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Server-Seal", seal.as_str()),
        ];
        http::write(conn, "HTTP/1.1 200 OK", &headers, self.service.as_bytes())
    }
}
