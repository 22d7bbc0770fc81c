//! Configuration sets of any size, in the shape of the target.

use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use cardamomroad::{
    config::object::{
        Access,
        Block,
        ConfigSet,
        Link,
        Pool,
        Region,
        Route,
        SCHEMA,
        Service,
        Zone, //
    },
    util::{
        id::IdError,
        units::BitRate, //
    },
};
use ipnet::{
    IpNet,
    Ipv4Net, //
};

/// The first address of the client blocks.
const FIRST_BLOCK: u32 = 0x0B00_0000;
/// The length of a client block's prefix.
const BLOCK_PREFIX: u8 = 26;

/// The size of a set.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Regions.
    pub regions: usize,
    /// Zones.
    pub zones: usize,
    /// Pools; services and zones are chosen to give them.
    pub sites: usize,
    /// Client blocks.
    pub blocks: usize,
}

/// Returns a set of a size. The name of zone `i` is `z{i}`.
pub fn set(size: Size) -> Result<ConfigSet, IdError> {
    let mut set = ConfigSet {
        schema: SCHEMA,
        ..ConfigSet::default()
    };
    for r in 0..size.regions {
        set.regions.push(Region {
            name: format!("r{r:02}").parse()?,
        });
    }
    for z in 0..size.zones {
        set.zones.push(Zone {
            name: format!("z{z:02}").parse()?,
            region: format!("r{:02}", z % size.regions).parse()?,
        });
    }
    links(&mut set, size)?;
    let services = size.sites.div_ceil(size.zones);
    for s in 0..services {
        service(&mut set, s)?;
    }
    for i in 0..size.sites {
        pool(&mut set, i, size)?;
    }
    for b in 0..size.blocks {
        block(&mut set, b, size)?;
    }
    Ok(set)
}

fn links(set: &mut ConfigSet, size: Size) -> Result<(), IdError> {
    for from in 0..size.regions {
        for to in 0..size.regions {
            if from == to {
                continue;
            }
            set.links.push(Link {
                name: format!("r{from:02}-r{to:02}").parse()?,
                from: format!("r{from:02}").parse()?,
                to: format!("r{to:02}").parse()?,
                cap: BitRate(4_000_000_000),
                delay: Duration::from_millis(55),
            });
        }
    }
    Ok(())
}

fn service(set: &mut ConfigSet, s: usize) -> Result<(), IdError> {
    set.services.push(Service {
        name: format!("s{s:03}").parse()?,
    });
    set.routes.push(Route {
        name: format!("route-{s:03}").parse()?,
        service: format!("s{s:03}").parse()?,
        prefix: format!("/s{s:03}"),
        methods: Vec::new(),
        access: Access::Open,
        idempotent: true,
        deadline: Duration::from_secs(2),
        organisations: Vec::new(),
    });
    Ok(())
}

fn pool(set: &mut ConfigSet, i: usize, size: Size) -> Result<(), IdError> {
    let (service, zone) = (i / size.zones, i % size.zones);
    let port = u16::try_from(1 + i % 60_000).unwrap_or(u16::MAX);
    // Nothing listens there: the trials send no requests to upstreams.
    let upstream = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 9, 9, 9)), port);
    set.pools.push(Pool {
        name: format!("p{i:04}").parse()?,
        service: format!("s{service:03}").parse()?,
        zone: format!("z{zone:02}").parse()?,
        upstreams: vec![upstream],
        slots: 4,
        connections: 400,
        warm_up: Duration::from_secs(10),
    });
    Ok(())
}

fn block(set: &mut ConfigSet, b: usize, size: Size) -> Result<(), IdError> {
    let step = 1u32 << (32 - BLOCK_PREFIX);
    let first = FIRST_BLOCK + u32::try_from(b).unwrap_or(0) * step;
    let net = Ipv4Net::new_assert(Ipv4Addr::from_bits(first), BLOCK_PREFIX);
    let near = [b % size.zones, (b + 1) % size.zones];
    let near: Result<_, _> = near.iter().map(|z| format!("z{z:02}").parse()).collect();
    set.blocks.push(Block {
        net: IpNet::V4(net),
        near: near?,
    });
    Ok(())
}

/// Returns a client of a block.
pub fn client(b: usize) -> IpAddr {
    let step = 1u32 << (32 - BLOCK_PREFIX);
    let first = FIRST_BLOCK + u32::try_from(b).unwrap_or(0) * step;
    IpAddr::V4(Ipv4Addr::from_bits(first + 1))
}
