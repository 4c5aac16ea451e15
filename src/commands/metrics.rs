//! Counters and gauges sent over UDP in the statsd format.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, MetricResult, StatsdClient};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::{Error, Result};
use crate::state::{
    counters::{Counter, Counters, MetricKind},
    settings::Settings,
};

/// Prefix of all metric names.
pub const PREFIX: &str = "comfreybay";
/// All metrics take about 8 KB, so this is under 1 KB/s of the 6 KB/s of a node.
const PERIOD_S: u64 = 10;
/// Fits one Ethernet frame with the headers of IP and UDP.
const PACKET_BYTES: usize = 1_432;

/// Sends the counters of one node.
///
/// Each metric is named `comfreybay.` and the counter's name, and has the tags `unit`, `service`,
/// `upstream` and `zone`. Totals are sent as the increase since the last time, gauges as they are.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    sent: Vec<u64>,
    failing: bool,
}

impl Metrics {
    /// A sender to `to`.
    ///
    /// # Errors
    /// No socket can be bound at the node's host.
    pub fn new(settings: &Settings, to: SocketAddr) -> Result<Self> {
        let sink = sink(settings, to).map_err(|source| Error::Metrics { to, source })?;
        let client = StatsdClient::builder(PREFIX, sink)
            .with_tag("service", &settings.service)
            .with_tag("upstream", &settings.name)
            .with_tag("zone", &settings.zone)
            .build();
        Ok(Self {
            client,
            sent: vec![0; Counter::ALL.len()],
            failing: false,
        })
    }

    /// Sends all gauges, and all totals that rose since the last time.
    ///
    /// # Errors
    /// The system refuses to send.
    pub fn send(&mut self, counters: &Counters) -> MetricResult<()> {
        for ((counter, value), sent) in counters.iter().zip(&mut self.sent) {
            let (name, unit) = (counter.name(), counter.unit());
            let rise = value.wrapping_sub(*sent);
            match counter.kind() {
                MetricKind::Gauge => {
                    let metric = self.client.gauge_with_tags(name, value);
                    metric.with_tag("unit", unit).try_send()?;
                }
                MetricKind::Total if rise > 0 => {
                    let metric = self.client.count_with_tags(name, rise);
                    metric.with_tag("unit", unit).try_send()?;
                    *sent = value;
                }
                MetricKind::Total => {}
            }
        }
        self.client.flush()
    }

    /// Sends every 10 s until `end` is cancelled, and once more then.
    pub async fn run(mut self, counters: Rc<Counters>, end: CancellationToken) {
        let mut ticks = interval(Duration::from_secs(PERIOD_S));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let ended = tokio::select! {
                biased;
                () = end.cancelled() => true,
                _ = ticks.tick() => false,
            };
            let result = self.send(&counters);
            self.note(result);
            if ended {
                return;
            }
        }
    }

    /// Logs when sending begins to fail and when it works again.
    fn note(&mut self, result: MetricResult<()>) {
        match (result, self.failing) {
            (Err(error), false) => {
                log::warn!(error:% = error; "could not send metrics");
                self.failing = true;
            }
            (Ok(()), true) => {
                log::info!("metrics are sent again");
                self.failing = false;
            }
            _ => {}
        }
    }
}

fn sink(settings: &Settings, to: SocketAddr) -> io::Result<BufferedUdpMetricSink> {
    let socket = UdpSocket::bind((settings.peer.ip(), 0))?;
    socket.set_nonblocking(true)?;
    BufferedUdpMetricSink::with_capacity(to, socket, PACKET_BYTES).map_err(io::Error::other)
}
