//! Writes docs/CAPACITY.md from measured slopes.

use std::fmt::{
    self,
    Write, //
};

use super::{
    BUDGET,
    Slope,
    Slopes,
    TARGET, //
};

/// Seconds in a day.
const DAY_SECONDS: f64 = 86_400.0;
/// Bytes in a megabyte.
const MB: f64 = 1e6;
/// Store calls a second that the platform's store takes: writes, and reads with watches.
const STORE_WRITES: f64 = 300.0;
const STORE_READS: f64 = 2_000.0;
/// Gossip rounds that spread a generation over a zone: each round, a host that
/// has it meets four others (two that it asks, two that ask it).
const SPREAD_PER_ROUND: f64 = 4.0;
/// Bytes of a lookup table that a host fetches when it joins, for each client block.
const SET_BYTES_PER_BLOCK: f64 = 60.0;

/// Whether a budget is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Held,
    Missed,
}

impl Verdict {
    fn of(value: f64, limit: f64) -> Self {
        match value <= limit {
            true => Self::Held,
            false => Self::Missed,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Held => "held",
            Self::Missed => "**missed**",
        })
    }
}

/// What is worked out at the target size.
struct Worked {
    hosts_per_zone: f64,
    cores: f64,
    cores_changes: f64,
    memory: f64,
    sent: f64,
    received: f64,
    delta_bytes: f64,
    in_force: f64,
    calls: f64,
    lookups_per_host: f64,
    lookup_cores: f64,
}

impl Worked {
    fn new(s: &Slopes) -> Self {
        let hosts_per_zone = TARGET.hosts as f64 / TARGET.zones as f64;
        let changes = TARGET.changes as f64 / DAY_SECONDS;
        let blocks = TARGET.blocks as f64;
        let rounds = (hosts_per_zone.ln() / (1.0 + SPREAD_PER_ROUND).ln()).ceil();
        let cores_changes = s.change_blocks.at(blocks) / 1e3 * changes;
        // A delta is asked for with a generation and answered by the objects that changed.
        let delta_bytes = s.delta_bytes * changes;
        let lookups_per_host = TARGET.lookups as f64 / TARGET.hosts as f64;
        Self {
            hosts_per_zone,
            cores: s.cores_hosts.at(hosts_per_zone) + cores_changes,
            cores_changes,
            memory: s.memory_blocks.at(blocks) + s.memory_hosts.each * hosts_per_zone,
            sent: s.sent_hosts.at(hosts_per_zone) + delta_bytes,
            received: s.received_hosts.at(hosts_per_zone) + delta_bytes,
            delta_bytes,
            in_force: s.force_blocks.at(blocks) + rounds,
            calls: s.calls_hosts.at(hosts_per_zone) * TARGET.zones as f64,
            lookups_per_host,
            lookup_cores: lookups_per_host * s.lookup_http_us / 1e6,
        }
    }
}

/// Returns the page.
///
/// # Errors
///
/// Fails only when formatting fails.
pub fn page(s: &Slopes, command: &str) -> Result<String, fmt::Error> {
    let w = Worked::new(s);
    let mut p = String::new();
    head(&mut p, s, command)?;
    verdicts(&mut p, &w)?;
    roles(&mut p, s, &w)?;
    store(&mut p, &w)?;
    losses(&mut p, s, &w)?;
    slopes(&mut p, s)?;
    gaps(&mut p)?;
    Ok(p)
}

fn head(p: &mut String, s: &Slopes, command: &str) -> fmt::Result {
    writeln!(
        p,
        "# Capacity at the target size\n\n\
         This page is written by a program from slopes that it measures; do not edit it.\n\
         Renew it with `{command}` (release build; this run had {} cores).\n\n\
         The target: {} hosts in {} zones and {} regions, {} client blocks, {} sites,\n\
         {} look-ups a second, {} configuration changes a day, {} hosts replaced or restarted a day.\n\n\
         *Measured* figures come from this run on one machine: one real entry host process with the\n\
         stand-in store and light peers in another process. *Worked out* figures are a measured line\n\
         carried on to the target size.\n",
        s.machine_cores,
        TARGET.hosts,
        TARGET.zones,
        TARGET.regions,
        TARGET.blocks,
        TARGET.sites,
        TARGET.lookups,
        TARGET.changes,
        TARGET.replaced
    )
}

fn verdicts(p: &mut String, w: &Worked) -> fmt::Result {
    let in_force = BUDGET.in_force.as_secs_f64();
    writeln!(p, "## Budgets of one host's control\n")?;
    writeln!(p, "| budget | limit | worked out | verdict |")?;
    writeln!(p, "| --- | --- | --- | --- |")?;
    writeln!(
        p,
        "| processor | {:.1}% of a core | {:.2}% | {} |",
        BUDGET.cores * 100.0,
        w.cores * 100.0,
        Verdict::of(w.cores, BUDGET.cores)
    )?;
    writeln!(
        p,
        "| memory | {:.0} MB | {:.1} MB | {} |",
        BUDGET.memory / MB,
        w.memory / MB,
        Verdict::of(w.memory, BUDGET.memory)
    )?;
    writeln!(
        p,
        "| bytes sent | {:.1} KB/s | {:.2} KB/s | {} |",
        BUDGET.bytes / 1e3,
        w.sent / 1e3,
        Verdict::of(w.sent, BUDGET.bytes)
    )?;
    writeln!(
        p,
        "| bytes received | {:.1} KB/s | {:.2} KB/s | {} |",
        BUDGET.bytes / 1e3,
        w.received / 1e3,
        Verdict::of(w.received, BUDGET.bytes)
    )?;
    writeln!(
        p,
        "| change in force everywhere | {in_force:.0} s | {:.1} s | {} |\n",
        w.in_force,
        Verdict::of(w.in_force, in_force)
    )
}

fn roles(p: &mut String, s: &Slopes, w: &Worked) -> fmt::Result {
    writeln!(p, "## By role\n")?;
    writeln!(
        p,
        "| role | state | messages and bytes | processor | mechanism |"
    )?;
    writeln!(p, "| --- | --- | --- | --- | --- |")?;
    writeln!(
        p,
        "| look-up | {:.1} MB for {} blocks, shared by pointer | {:.0} look-ups/s a host | {:.1}% of a core ({:.1} us each over HTTP, of which {:.2} us in the table) | longest prefix to a class of clients; the order of zones is kept per class |",
        w.memory / MB,
        TARGET.blocks,
        w.lookups_per_host,
        w.lookup_cores * 100.0,
        s.lookup_http_us,
        s.lookup_blocks.at(TARGET.blocks as f64) / 1e3,
    )?;
    writeln!(
        p,
        "| membership (each host) | {:.0} hosts of the own zone whole, 4 of each other zone | {:.1} KB/s sent, {:.1} KB/s received; {:.0} bytes a heartbeat with its answer | {:.2}% of a core | a few probes a period, bounded gossip, no mesh |",
        w.hosts_per_zone,
        s.sent_hosts.at(w.hosts_per_zone) / 1e3,
        s.received_hosts.at(w.hosts_per_zone) / 1e3,
        s.beat_bytes,
        s.cores_hosts.at(w.hosts_per_zone) * 100.0,
    )?;
    writeln!(
        p,
        "| configuration (each host) | in the memory above | {:.0} bytes a delta, {:.0} bytes/s | {:.1} ms a change, {:.2}% of a core | deltas from peer to peer; tables share what a change does not touch |",
        s.delta_bytes,
        w.delta_bytes,
        s.change_blocks.at(TARGET.blocks as f64),
        w.cores_changes * 100.0,
    )?;
    writeln!(
        p,
        "| relay (one a zone) | the set's chunks beside the table | {:.1} store calls/s | in the processor figure above: the measured host was its zone's relay | one watch a zone; a lease of one object |",
        s.calls_hosts.at(w.hosts_per_zone),
    )?;
    writeln!(
        p,
        "| planner (one a region) | loads of known hosts | one read each 5 s, a write where the plan changed | not measured at size | a lease; plans per zone and service |",
    )?;
    writeln!(
        p,
        "| gateway | connections, ids of the at-most-once window | by traffic | not control; see MEASUREMENTS.md | - |\n",
    )
}

fn store(p: &mut String, w: &Worked) -> fmt::Result {
    let changes = TARGET.changes as f64 / DAY_SECONDS;
    let replaced = TARGET.replaced as f64 / DAY_SECONDS;
    // Leases are renewed three times in ten seconds, by zones and regions.
    let lease_writes = (TARGET.zones + TARGET.regions) as f64 * 0.3;
    // A replaced host costs a ledger about four writes: in, settled, out, settled.
    let writes = lease_writes + changes * 2.0 + replaced * 4.0;
    let reads = w.calls - lease_writes;
    let starts = replaced * 4.0;
    let lists = TARGET.hosts as f64 / 300.0;
    writeln!(p, "## The platform's store\n")?;
    writeln!(p, "| spent | worked out | takes | verdict |")?;
    writeln!(p, "| --- | --- | --- | --- |")?;
    writeln!(
        p,
        "| writes a second (leases, ledgers, changes) | {writes:.1} | several hundred ({STORE_WRITES:.0}) | {} |",
        Verdict::of(writes, STORE_WRITES)
    )?;
    let total = reads + starts + lists;
    writeln!(
        p,
        "| reads and watches a second: relays {reads:.0}, hosts that start {starts:.1}, each host's list every 300 s {lists:.0} | {total:.0} | {STORE_READS:.0} | {} |\n",
        Verdict::of(total, STORE_READS)
    )
}

fn losses(p: &mut String, s: &Slopes, w: &Worked) -> fmt::Result {
    let set_mb = TARGET.blocks as f64 * SET_BYTES_PER_BLOCK / MB;
    writeln!(p, "## What losses cost (worked out)\n")?;
    writeln!(
        p,
        "- **A host replaced:** it fetches the whole set ({set_mb:.0} MB) from a peer and serves {:.1} s after its start (measured with the largest table); its shares lie idle until the ledger moves. {} a day: {:.1} KB/s a host on average for handing sets on.",
        s.start_seconds,
        TARGET.replaced,
        set_mb * 1e3 * TARGET.replaced as f64 / DAY_SECONDS / TARGET.hosts as f64 * 1.0,
    )?;
    writeln!(
        p,
        "- **A rack or switch gone (30 hosts):** 30 ledger members go at once, in one ledger revision a zone; lookups stop naming them within the suspicion bound; no set is fetched until they come back.",
    )?;
    writeln!(
        p,
        "- **A zone lost:** {:.0} hosts leave look-up answers; each other zone's relay reads one ledger when it changes. When it comes back, {:.0} hosts fetch {set_mb:.0} MB each: {:.1} GB inside the zone, from the first that have it.",
        w.hosts_per_zone,
        w.hosts_per_zone,
        set_mb * w.hosts_per_zone / 1e3,
    )?;
    writeln!(
        p,
        "- **A full restart of a zone without the store:** hosts with seeds in other zones start from those; without any peer that has a configuration a host stays not ready, on purpose. Not measured at size.",
    )?;
    writeln!(
        p,
        "- **Regions cut from each other for an hour:** {:.0} changes pass; a host asks for the deltas after its generation. Peers keep 64 deltas, so a cut of up to 13 minutes heals by deltas; after a longer one each host fetches the whole set once.\n",
        TARGET.changes as f64 / 24.0,
    )
}

fn slopes(p: &mut String, s: &Slopes) -> fmt::Result {
    writeln!(p, "## Measured slopes\n")?;
    writeln!(p, "| what | over | points (size: value) | base | each |")?;
    writeln!(p, "| --- | --- | --- | --- | --- |")?;
    for slope in [
        &s.memory_blocks,
        &s.lookup_blocks,
        &s.change_blocks,
        &s.force_blocks,
        &s.cores_hosts,
        &s.sent_hosts,
        &s.received_hosts,
        &s.memory_hosts,
        &s.calls_hosts,
    ] {
        row(p, slope)?;
    }
    writeln!(
        p,
        "\nLook-ups over HTTP on four connections: {:.0} a second, {:.1} us of processor time each. The 99.9th percentile, as the caller saw it, was {:.2} ms without changes and {:.2} ms while changes were applied to the largest table.\n",
        s.lookup_http_rate, s.lookup_http_us, s.lookup_p999_quiet_ms, s.lookup_p999_changing_ms
    )
}

fn row(p: &mut String, slope: &Slope) -> fmt::Result {
    write!(p, "| {} | {} | ", slope.what, slope.over)?;
    for (i, point) in slope.points.iter().enumerate() {
        let comma = if i == 0 { "" } else { ", " };
        write!(p, "{comma}{:.0}: {:.4}", point.size, point.value)?;
    }
    writeln!(p, " | {:.4} | {:.3e} |", slope.base, slope.each)
}

fn gaps(p: &mut String) -> fmt::Result {
    writeln!(
        p,
        "## What this page does not cover\n\n\
         - The light peers stand in one process on the same machine; delays between zones are not in the figures.\n\
         - Loans between hosts are driven by demand and were idle here. At most 64 loan requests leave a host each second.\n\
         - Each other zone had four light peers, as many as a host keeps of it. A host asks three other zones a second, so that at 36 zones a report of free slots is up to 12 s old; what is older than 5 s is not used to spill. Spilling between zones at that size needs the relay's zone status, which is not built.\n\
         - The planner was measured only at today's size. Above a few dozen hosts it sees a sample of each other zone's hosts, which the relay's zone status has to replace before the target size.\n\
         - The time until a change is in force everywhere adds one second for each round of gossip to the measured time at the relay; it was not run with 217 real processes."
    )
}
