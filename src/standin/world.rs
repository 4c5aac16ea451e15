//! Networks that a fleet runs on: in memory, or the loopback addresses of this machine.

use std::{net::IpAddr, time::Duration};

use crate::{
    state::{id::ZoneName, publication::Publication},
    transport::{
        memory::{MemoryNet, Network, Process},
        net::Net,
        tcp::TcpNet,
    },
};

/// Host address of the configuration service and the instance list.
pub const PLATFORM: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(127, 255, 0, 1));
/// Host address of the callers.
pub const CALLERS: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(127, 255, 1, 1));
const PLATFORM_ZONE: &str = "platform";
const CALLERS_ZONE: &str = "callers";

/// Provides the network of each host of a fleet.
pub trait World: Clone + 'static {
    /// Network of one process.
    type Net: Net;

    /// Returns the network of a process on a host.
    fn net(&self, host: IpAddr, process: Process) -> Self::Net;

    /// Sets the availability zone of a host, for the latencies; no effect on loopback.
    fn set_zone(&self, _host: IpAddr, _zone: &ZoneName) {}
}

impl World for Network {
    type Net = MemoryNet;

    fn net(&self, host: IpAddr, process: Process) -> MemoryNet {
        Network::net(self, host, process)
    }

    fn set_zone(&self, host: IpAddr, zone: &ZoneName) {
        Network::assign_zone(self, host, zone.clone());
    }
}

/// Network of the loopback addresses of this machine.
#[derive(Debug, Clone, Copy)]
pub struct Loopback;

impl World for Loopback {
    type Net = TcpNet;

    fn net(&self, host: IpAddr, _: Process) -> TcpNet {
        TcpNet::new(host)
    }
}

/// One-way latencies of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Latency {
    /// Between availability zones of a region, in ms.
    pub zones_ms: f64,
    /// Between callers and any node, in ms.
    pub callers_ms: f64,
    /// Between regions, in ms.
    pub regions_ms: f64,
}

/// Creates an in-memory network with the zones and latencies of a publication.
///
/// # Errors
/// Never fails: the names of the two additional availability zones are valid.
pub fn memory_network(
    publication: &Publication,
    latency: Latency,
    seed: u64,
) -> super::Result<Network> {
    let network = Network::new(seed);
    let ms = |t: f64| Duration::from_secs_f64(t / 1_000.0);
    let (platform, callers): (ZoneName, ZoneName) = (PLATFORM_ZONE.parse()?, CALLERS_ZONE.parse()?);
    network.assign_zone(PLATFORM, platform.clone());
    network.assign_zone(CALLERS, callers.clone());
    let zones = &publication.head.deployment.zones;
    for zone in zones {
        network.set_latency(&zone.name, &platform, ms(latency.zones_ms));
        network.set_latency(&zone.name, &callers, ms(latency.callers_ms));
        for other in zones {
            let latency_ms = match zone.region == other.region {
                true => latency.zones_ms,
                false => latency.regions_ms,
            };
            // Latency within an availability zone is a fifth of the latency between zones.
            let latency_ms = if zone.name == other.name {
                latency_ms / 5.0
            } else {
                latency_ms
            };
            network.set_latency(&zone.name, &other.name, ms(latency_ms));
        }
    }
    Ok(network)
}
