//! Entries of another writer, with a service that the configuration does not name.

use std::{
    io::Write,
    net::TcpStream,
    path::Path,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    world::{self, Deployment, HOST, Record, has_trouble},
};

const MACHINES: [(&str, &str); 4] = [
    ("bookings", "kv-a"),
    ("bookings", "kv-a"),
    ("bookings", "kv-b"),
    ("bookings", "kv-b"),
];
const TIME: Duration = Duration::from_secs(15);

pub fn run(path: &Path) -> ExitCode {
    let deployment = Deployment::start_all(&MACHINES, 260);
    let mut record = Record::new();
    if has_trouble() {
        for number in 1..=MACHINES.len() as u8 {
            let address = deployment.server(number);
            let entry = world::entry(address, "another", "kv-a", 10, 1_700_000_100_000);
            deployment
                .store
                .put(&format!("servers/x-{number}"), Some(&entry));
            record.now(&format!(
                "an entry of service another is written for {address}"
            ));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let until = Instant::now() + TIME;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < until {
        let at = deployment.outbound(1 + sent % MACHINES.len() as u8);
        sent = sent.wrapping_add(1);
        let status = (|| {
            let mut conn = TcpStream::connect(at).ok()?;
            conn.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
            let text = format!(
                "GET /read/a-10 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {sent:016x}\r\nX-Deadline-Ms: 5000\r\n\r\n"
            );
            conn.write_all(text.as_bytes()).ok()?;
            Some(http::read_head(&mut conn, Vec::new()).ok()??.status())
        })();
        served += u32::from(status == Some(200));
        record.add(
            Instant::now(),
            &format!("request {sent} is answered with {status:?}"),
        );
        thread::sleep(Duration::from_millis(100));
    }
    record.now(&format!("{served} of {sent} requests were served"));
    record.write(path);
    ExitCode::from(u8::from(served == 0))
}
