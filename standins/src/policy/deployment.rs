//! The topology, capacity and load of the two simulated deployments.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use cardamomroad::{
    config::object::{
        Block,
        ConfigSet,
        Link,
        Organisation,
        Pool,
        Region,
        SCHEMA,
        Service,
        Zone, //
    },
    util::units::{
        BitRate,
        RequestRate, //
    },
};

/// Number of regions of a deployment.
pub const REGIONS: usize = 3;
/// Number of zones of a region.
pub const ZONES_PER_REGION: usize = 2;
/// Number of zones of a deployment.
pub const ZONES: usize = REGIONS * ZONES_PER_REGION;
/// Number of entry hosts of a zone.
pub const HOSTS_PER_ZONE: usize = 2;
/// Number of entry hosts of a deployment.
pub const HOSTS: usize = ZONES * HOSTS_PER_ZONE;
/// Number of services of a deployment: index 0 serves short requests, index 1 uploads.
pub const SERVICES: usize = 2;
/// Number of organisations of a deployment.
pub const ORGANISATIONS: usize = 8;
/// The fraction of all requests that each organisation sends; they add up to 1.
pub const DEMAND_SHARES: [f64; ORGANISATIONS] = [0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02];
/// Each organisation's rate limit as a multiple of its mean rate. One has more headroom.
const RATE_FACTORS: [f64; ORGANISATIONS] = [2.0, 5.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0];
/// An organisation's burst allowance, in seconds of its rate limit.
const BURST_SECONDS: f64 = 2.0;
/// The smallest burst allowance, in requests.
const BURST_MIN: u32 = 20;
/// One-way delay between a client and its region.
pub const CLIENT_DELAY: Duration = Duration::from_millis(3);
/// One-way delay between two zones of a region.
pub const ZONE_DELAY: Duration = Duration::from_millis(1);
/// The time that an upstream takes to warm up.
pub const WARM_UP: Duration = Duration::from_secs(30);
/// The connection limit of an upstream.
const CONNECTIONS: u32 = 400;

/// The topology, capacity and load of a deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// Region names, in the order of region indexes.
    pub regions: [&'static str; REGIONS],
    /// One-way delay between any two regions.
    pub delay: Duration,
    /// Capacity of each link in each direction.
    pub link: BitRate,
    /// The short-request service, then the upload service.
    pub services: [Sizing; SERVICES],
}

/// The capacity and load of a service.
#[derive(Debug)]
pub struct Sizing {
    /// Service name in the configuration.
    pub name: &'static str,
    /// Number of upstreams in all zones together.
    pub servers: u32,
    /// Slots of each upstream.
    pub slots: u32,
    /// Mean fraction of all slots in use under steady load.
    pub busy: f64,
    /// Mean processing time of a request at a warm upstream.
    pub work: Duration,
    /// How long a caller waits for its request to start.
    pub deadline: Duration,
    /// Request size in bytes, not counting an upload.
    pub request: u64,
    /// Response size in bytes.
    pub answer: u64,
    /// Upload sizes; absent for the service of short requests.
    pub upload: Option<Upload>,
}

/// Upload sizes, drawn from a bounded Pareto distribution.
#[derive(Debug)]
pub struct Upload {
    /// Smallest upload, in bytes.
    pub min: f64,
    /// Largest upload, in bytes.
    pub max: f64,
    /// Shape parameter; a lower value gives a heavier tail.
    pub shape: f64,
    /// A client's upload bandwidth, in bytes per second.
    pub uplink: f64,
}

impl Upload {
    /// Returns the upload size in bytes at quantile `point`, from 0 to 1.
    pub fn size(&self, point: f64) -> f64 {
        let tail = (self.min / self.max).powf(self.shape);
        self.min / (1.0 - point * (1.0 - tail)).powf(1.0 / self.shape)
    }

    /// Returns the mean upload size in bytes.
    pub fn mean(&self) -> f64 {
        let (a, l, h) = (self.shape, self.min, self.max);
        let tail = 1.0 - (l / h).powf(a);
        l.powf(a) / tail * a / (a - 1.0) * (l.powf(1.0 - a) - h.powf(1.0 - a))
    }
}

impl Sizing {
    /// Returns the mean time that a request holds a slot, in seconds.
    pub fn mean_hold(&self) -> f64 {
        let upload = self.upload.as_ref().map_or(0.0, |u| u.mean() / u.uplink);
        self.work.as_secs_f64() + upload
    }

    /// Returns the steady request rate of all regions together, per second.
    pub fn rate(&self) -> f64 {
        f64::from(self.servers * self.slots) * self.busy / self.mean_hold()
    }

    /// Returns the number of upstreams in each zone.
    pub fn servers_per_zone(&self) -> usize {
        self.servers as usize / ZONES
    }
}

/// Thanh Clockworks: low-bandwidth links and long uploads.
pub static THANH: Deployment = Deployment {
    name: "thanh-clockworks",
    regions: ["bac", "trung", "nam"],
    delay: Duration::from_millis(35),
    link: BitRate(280_000_000),
    services: [
        Sizing {
            name: "dispatch",
            servers: 30,
            slots: 4,
            busy: 0.55,
            work: Duration::from_millis(80),
            deadline: Duration::from_secs(2),
            request: 1_000,
            answer: 20_000,
            upload: None,
        },
        Sizing {
            name: "workbench",
            servers: 12,
            slots: 3,
            busy: 0.5,
            work: Duration::from_millis(200),
            deadline: Duration::from_secs(10),
            request: 0,
            answer: 1_000,
            upload: Some(Upload {
                min: 16e6,
                max: 800e6,
                shape: 1.3,
                uplink: 8e6,
            }),
        },
    ],
};

/// Skyglass: high-bandwidth links, queues at counters.
pub static SKYGLASS: Deployment = Deployment {
    name: "skyglass",
    regions: ["western", "central", "southern"],
    delay: Duration::from_millis(55),
    link: BitRate(4_000_000_000),
    services: [
        Sizing {
            name: "catalogue",
            servers: 30,
            slots: 6,
            busy: 0.55,
            work: Duration::from_millis(60),
            deadline: Duration::from_secs(2),
            request: 1_000,
            answer: 60_000,
            upload: None,
        },
        Sizing {
            name: "returns",
            servers: 12,
            slots: 3,
            busy: 0.5,
            work: Duration::from_millis(200),
            deadline: Duration::from_secs(10),
            request: 0,
            answer: 1_000,
            upload: Some(Upload {
                min: 4e6,
                max: 200e6,
                shape: 1.3,
                uplink: 8e6,
            }),
        },
    ],
};

/// Returns the region index of a zone index.
pub fn region_of(zone: usize) -> usize {
    zone / ZONES_PER_REGION
}

/// Returns the address of upstream `i` of a service in a zone.
pub fn server_address(zone: usize, service: usize, i: usize) -> SocketAddr {
    let group = u8::try_from(zone * SERVICES + service).unwrap_or(u8::MAX);
    let last = u8::try_from(i).unwrap_or(u8::MAX);
    SocketAddr::from(([10, 200, group, last], 9000))
}

/// Returns the zone, service and index that [`server_address`] encoded.
pub fn server_at(address: SocketAddr) -> (usize, usize, usize) {
    let SocketAddr::V4(a) = address else {
        return (0, 0, 0);
    };
    let [_, _, group, last] = a.ip().octets();
    let group = usize::from(group);
    (group / SERVICES, group % SERVICES, usize::from(last))
}

impl Deployment {
    /// Returns the name of a zone: its region's name and a letter.
    pub fn zone(&self, zone: usize) -> String {
        let letter = ["a", "b"][zone % ZONES_PER_REGION];
        format!("{}-{letter}", self.regions[region_of(zone)])
    }

    /// Builds the configuration set of the deployment.
    pub fn set(&self) -> ConfigSet {
        let mut set = ConfigSet {
            schema: SCHEMA,
            ..ConfigSet::default()
        };
        for name in self.regions {
            set.regions.push(Region {
                name: name_of(name),
            });
        }
        for from in self.regions {
            for to in self.regions {
                if from == to {
                    continue;
                }
                set.links.push(Link {
                    name: name_of(&format!("{from}-{to}")),
                    from: name_of(from),
                    to: name_of(to),
                    cap: self.link,
                    delay: self.delay,
                });
            }
        }
        for zone in 0..ZONES {
            self.add_zone(&mut set, zone);
        }
        for s in &self.services {
            set.services.push(Service {
                name: name_of(s.name),
            });
        }
        let sent: f64 = self.services.iter().map(Sizing::rate).sum();
        for (i, share) in DEMAND_SHARES.iter().enumerate() {
            let rate = sent * share * RATE_FACTORS[i];
            set.organisations.push(Organisation {
                name: name_of(&format!("organisation-{i}")),
                rate: RequestRate((rate * 1000.0) as u64),
                burst: ((rate * BURST_SECONDS) as u32).max(BURST_MIN),
                weight: 1,
            });
        }
        set
    }

    fn add_zone(&self, set: &mut ConfigSet, zone: usize) {
        let name = self.zone(zone);
        set.zones.push(Zone {
            name: name_of(&name),
            region: name_of(self.regions[region_of(zone)]),
        });
        for (s, sizing) in self.services.iter().enumerate() {
            let servers = 0..sizing.servers_per_zone();
            set.pools.push(Pool {
                name: name_of(&format!("{}-{name}", sizing.name)),
                service: name_of(sizing.name),
                zone: name_of(&name),
                upstreams: servers.map(|i| server_address(zone, s, i)).collect(),
                slots: sizing.slots,
                connections: CONNECTIONS,
                warm_up: WARM_UP,
            });
        }
        let net = format!("10.{zone}.0.0/16");
        if let Ok(net) = net.parse() {
            set.blocks.push(Block {
                net,
                near: [name_of(&name)].into_iter().collect(),
            });
        }
    }
}

/// Parses a generated name.
///
/// # Panics
///
/// Panics if the name is invalid.
pub fn name_of<T: std::str::FromStr<Err = cardamomroad::util::id::IdError>>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(e) => panic!("{e}"),
    }
}
