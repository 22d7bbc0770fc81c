//! The sizes of the two deployments of today.

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

/// Regions of a deployment.
pub const REGIONS: usize = 3;
/// Zones of a region.
pub const ZONES_PER_REGION: usize = 2;
/// Zones of a deployment.
pub const ZONES: usize = REGIONS * ZONES_PER_REGION;
/// Entry hosts of a zone.
pub const HOSTS_PER_ZONE: usize = 2;
/// Entry hosts of a deployment.
pub const HOSTS: usize = ZONES * HOSTS_PER_ZONE;
/// Services of a deployment: one of short requests, one of uploads.
pub const SERVICES: usize = 2;
/// Organisations of a deployment.
pub const ORGANISATIONS: usize = 8;
/// The part of the requests that each organisation sends.
pub const PARTS: [f64; ORGANISATIONS] = [0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02];
/// Each organisation's rate over what it sends on average; one holds more in reserve.
const RATE_FACTORS: [f64; ORGANISATIONS] = [2.0, 5.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0];
/// Seconds of its rate that an organisation may send at once.
const BURST_SECONDS: f64 = 2.0;
/// The fewest requests of a burst.
const BURST_MIN: u32 = 20;
/// The delay between a client and its region, one way.
pub const CLIENT_DELAY: Duration = Duration::from_millis(3);
/// The delay between two zones of a region, one way.
pub const ZONE_DELAY: Duration = Duration::from_millis(1);
/// The time that a cold upstream takes to be warm.
pub const WARM_UP: Duration = Duration::from_secs(30);
/// Connections that an upstream holds.
const CONNECTIONS: u32 = 400;

/// A deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its regions.
    pub regions: [&'static str; REGIONS],
    /// The delay between two regions, one way.
    pub delay: Duration,
    /// The cap of each direction of each link, in bits a second.
    pub link: BitRate,
    /// Its services.
    pub services: [Sizing; SERVICES],
}

/// A service and its load.
#[derive(Debug)]
pub struct Sizing {
    /// Its name.
    pub name: &'static str,
    /// Its upstreams over all zones.
    pub servers: u32,
    /// The slots of one upstream.
    pub slots: u32,
    /// The part of all slots that is busy in steady times.
    pub busy: f64,
    /// The mean time that a warm upstream works on a request.
    pub work: Duration,
    /// How long a caller waits for its request to be taken.
    pub deadline: Duration,
    /// The bytes of a request that is no upload.
    pub request: u64,
    /// The bytes of an answer.
    pub answer: u64,
    /// The sizes of uploads, where requests are uploads.
    pub upload: Option<Upload>,
}

/// Upload sizes: a bounded Pareto distribution.
#[derive(Debug)]
pub struct Upload {
    /// The smallest, in bytes.
    pub min: f64,
    /// The largest, in bytes.
    pub max: f64,
    /// The shape of the tail; a lower one is heavier.
    pub shape: f64,
    /// What a client sends, in bytes a second.
    pub uplink: f64,
}

impl Upload {
    /// Returns the size at a point of the distribution between 0 and 1.
    pub fn size(&self, point: f64) -> f64 {
        let tail = (self.min / self.max).powf(self.shape);
        self.min / (1.0 - point * (1.0 - tail)).powf(1.0 / self.shape)
    }

    /// Returns the mean size in bytes.
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

    /// Returns the requests a second of steady times over all regions.
    pub fn rate(&self) -> f64 {
        f64::from(self.servers * self.slots) * self.busy / self.mean_hold()
    }

    /// Returns the upstreams of one zone.
    pub fn servers_per_zone(&self) -> usize {
        self.servers as usize / ZONES
    }
}

/// Thanh Clockworks: narrow links, long uploads.
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

/// Skyglass: wide links, queues at counters.
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

/// Returns the region of a zone.
pub fn region_of(zone: usize) -> usize {
    zone / ZONES_PER_REGION
}

/// Returns the address of an upstream.
pub fn server_address(zone: usize, service: usize, i: usize) -> SocketAddr {
    let group = u8::try_from(zone * SERVICES + service).unwrap_or(u8::MAX);
    let last = u8::try_from(i).unwrap_or(u8::MAX);
    SocketAddr::from(([10, 200, group, last], 9000))
}

/// Returns zone, service and index of an upstream's address.
pub fn server_at(address: SocketAddr) -> (usize, usize, usize) {
    let SocketAddr::V4(a) = address else {
        return (0, 0, 0);
    };
    let [_, _, group, last] = a.ip().octets();
    let group = usize::from(group);
    (group / SERVICES, group % SERVICES, usize::from(last))
}

impl Deployment {
    /// Returns the name of a zone.
    pub fn zone(&self, zone: usize) -> String {
        let letter = ["a", "b"][zone % ZONES_PER_REGION];
        format!("{}-{letter}", self.regions[region_of(zone)])
    }

    /// Returns the deployment as a configuration set.
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
        for (i, part) in PARTS.iter().enumerate() {
            let rate = sent * part * RATE_FACTORS[i];
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

/// Parses a name that this module made.
pub fn name_of<T: std::str::FromStr<Err = cardamomroad::util::id::IdError>>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(e) => panic!("{e}"),
    }
}
