//! Where a fleet runs: in memory or on the loopback addresses of this machine.

use std::{net::IpAddr, time::Duration};

use crate::{
    state::{id::ZoneName, publication::Publication},
    transport::{
        memory::{MemoryNet, Network, Process},
        net::Net,
        tcp::TcpNet,
    },
};

/// Address of the configuration service and the instance list.
pub const PLATFORM: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(127, 255, 0, 1));
/// Address of the callers.
pub const CALLERS: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(127, 255, 1, 1));
const PLATFORM_ZONE: &str = "platform";
const CALLERS_ZONE: &str = "callers";

/// Networks for the hosts of a fleet.
pub trait World: Clone + 'static {
    /// The network of one host.
    type Net: Net;

    /// The network of a process on a host.
    fn net(&self, host: IpAddr, process: Process) -> Self::Net;

    /// Tells in which availability zone a host is.
    fn place(&self, _host: IpAddr, _zone: &ZoneName) {}
}

impl World for Network {
    type Net = MemoryNet;

    fn net(&self, host: IpAddr, process: Process) -> MemoryNet {
        Network::net(self, host, process)
    }

    fn place(&self, host: IpAddr, zone: &ZoneName) {
        Network::place(self, host, zone.clone());
    }
}

/// The loopback addresses of this machine.
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
    pub zones: f64,
    /// Between callers and any node, in ms.
    pub callers: f64,
    /// Between regions, in ms.
    pub regions: f64,
}

/// An in-memory network laid out for a publication.
///
/// # Errors
/// Never, as the names of the two added availability zones are valid.
pub fn memory(publication: &Publication, latency: Latency, seed: u64) -> super::Result<Network> {
    let network = Network::new(seed);
    let ms = |t: f64| Duration::from_secs_f64(t / 1_000.0);
    let (platform, callers): (ZoneName, ZoneName) = (PLATFORM_ZONE.parse()?, CALLERS_ZONE.parse()?);
    network.place(PLATFORM, platform.clone());
    network.place(CALLERS, callers.clone());
    let zones = &publication.head.deployment.zones;
    for zone in zones {
        network.set_latency(&zone.name, &platform, ms(latency.zones));
        network.set_latency(&zone.name, &callers, ms(latency.callers));
        for other in zones {
            let between = match zone.region == other.region {
                true => latency.zones,
                false => latency.regions,
            };
            // Hosts of one availability zone are a fifth of the way apart.
            let between = if zone.name == other.name {
                between / 5.0
            } else {
                between
            };
            network.set_latency(&zone.name, &other.name, ms(between));
        }
    }
    Ok(network)
}
