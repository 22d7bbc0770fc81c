//! The look-up table in this process: time against size.

use std::{
    hint::black_box,
    net::SocketAddr,
    time::Instant, //
};

use cardamomroad::{
    lookup::{
        Host,
        HostStatus,
        Table, //
    },
    util::id::{
        Generation,
        IdError,
        Incarnation,
        Stamp, //
    },
};

use super::{
    Point,
    sets::{
        self,
        Size, //
    },
};

/// Look-ups that are timed for each size.
const LOOKUPS: usize = 200_000;
/// Hosts of each zone.
const HOSTS_PER_ZONE: usize = 217;
/// A number without a common factor with the blocks, to visit them out of order.
const STRIDE: usize = 7_919;

/// Returns the nanoseconds of one look-up at several sizes.
///
/// # Errors
///
/// Fails when a name is malformed, which would be a fault of this program.
pub fn lookup_nanos(size: Size, blocks: &[usize]) -> Result<Vec<Point>, IdError> {
    let mut points = Vec::new();
    for &blocks in blocks {
        let size = Size { blocks, ..size };
        let set = sets::set(size)?;
        let hosts = hosts(size.zones)?;
        let own = set.zones[0].name.clone();
        let table = Table::new(Generation(1), &set, &own, &hosts);
        let start = Instant::now();
        for i in 0..LOOKUPS {
            let client = sets::client(i * STRIDE % blocks);
            black_box(table.answer(client, None));
        }
        points.push(Point {
            size: blocks as f64,
            value: start.elapsed().as_nanos() as f64 / LOOKUPS as f64,
        });
    }
    Ok(points)
}

/// A host knows its own zone whole and a few hosts of the others.
fn hosts(zones: usize) -> Result<Vec<Host>, IdError> {
    let mut hosts = Vec::new();
    for z in 0..zones {
        let known = if z == 0 { HOSTS_PER_ZONE } else { 4 };
        for h in 0..known {
            hosts.push(Host {
                name: format!("z{z:02}-{h}").parse()?,
                zone: format!("z{z:02}").parse()?,
                caller_address: SocketAddr::from(([127, 0, 0, 1], 9)),
                incarnation: Incarnation(1),
                stamp: Stamp(1),
                status: HostStatus::Live,
                spare_milli: 1000,
            });
        }
    }
    Ok(hosts)
}
