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

/// Prefix of all metric names, without the dot that follows it.
pub const PREFIX: &str = "comfreybay";
/// All metrics take about 8 KB: under 1 KB/s of the 6 KB/s of control traffic allowed per node.
const SEND_INTERVAL_S: u64 = 10;
/// Fits into one Ethernet frame together with the IP and UDP headers.
const PACKET_MAX_BYTES: usize = 1_432;

/// Sends the counters of one node.
///
/// Each metric is named `comfreybay.` followed by the counter's name, and has the tags `unit`,
/// `service`, `upstream` and `zone`. Totals are sent as the increase since they were last sent,
/// gauges as their current value.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    last_sent: Vec<u64>,
    failing: bool,
}

impl Metrics {
    /// Creates a sender of metrics to `address`.
    ///
    /// # Errors
    /// No UDP socket can be bound at the node's host.
    pub fn new(settings: &Settings, address: SocketAddr) -> Result<Self> {
        let sink =
            udp_sink(settings, address).map_err(|source| Error::Metrics { address, source })?;
        let client = StatsdClient::builder(PREFIX, sink)
            .with_tag("service", &settings.service)
            .with_tag("upstream", &settings.name)
            .with_tag("zone", &settings.zone)
            .build();
        Ok(Self {
            client,
            last_sent: vec![0; Counter::ALL.len()],
            failing: false,
        })
    }

    /// Sends all gauges, and all totals that increased since they were last sent.
    ///
    /// # Errors
    /// The operating system refuses to send.
    pub fn send(&mut self, counters: &Counters) -> MetricResult<()> {
        for ((counter, value), sent) in counters.iter().zip(&mut self.last_sent) {
            let (name, unit) = (counter.name(), counter.unit());
            let increase = value.wrapping_sub(*sent);
            match counter.kind() {
                MetricKind::Gauge => {
                    let metric = self.client.gauge_with_tags(name, value);
                    metric.with_tag("unit", unit).try_send()?;
                }
                MetricKind::Total if increase > 0 => {
                    let metric = self.client.count_with_tags(name, increase);
                    metric.with_tag("unit", unit).try_send()?;
                    *sent = value;
                }
                MetricKind::Total => {}
            }
        }
        self.client.flush()
    }

    /// Sends every 10 s until `stop` is cancelled, and then once more.
    pub async fn run(mut self, counters: Rc<Counters>, stop: CancellationToken) {
        let mut ticks = interval(Duration::from_secs(SEND_INTERVAL_S));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let stopped = tokio::select! {
                biased;
                () = stop.cancelled() => true,
                _ = ticks.tick() => false,
            };
            let result = self.send(&counters);
            self.log_result(result);
            if stopped {
                return;
            }
        }
    }

    /// Logs the first failure after a success, and the first success after a failure.
    fn log_result(&mut self, result: MetricResult<()>) {
        match (result, self.failing) {
            (Err(error), false) => {
                log::warn!(error:% = error; "could not send metrics; will retry");
                self.failing = true;
            }
            (Ok(()), true) => {
                log::info!("sending metrics works again");
                self.failing = false;
            }
            _ => {}
        }
    }
}

fn udp_sink(settings: &Settings, address: SocketAddr) -> io::Result<BufferedUdpMetricSink> {
    let socket = UdpSocket::bind((settings.peer.ip(), 0))?;
    socket.set_nonblocking(true)?;
    BufferedUdpMetricSink::with_capacity(address, socket, PACKET_MAX_BYTES)
        .map_err(io::Error::other)
}
