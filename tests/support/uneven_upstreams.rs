//! Simulates the requests of one scheduler to upstreams of different speeds, in virtual time and
//! without a network. Requests that have to wait are tried again whenever another one ends.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use cardamomroad::{
    edge::{
        datagram::RunId,
        dialect::LoadReport,
        machine_pace::PaceReport,
        message::AttemptEnded,
        model::{
            Registration,
            Standing, //
        },
        placement::{
            Pick,
            PlacementRequest,
            View,
            pick, //
        },
        upstreams::{
            TryEnd,
            UpstreamKey,
            Upstreams,
            key_of,
            zone_hash, //
        },
    },
    util::id::{
        ServiceName,
        ZoneName, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::time::Instant;

pub const CACHED_WORK: Duration = Duration::from_millis(150);
pub const UNCACHED_WORK: Duration = Duration::from_millis(500);
pub const SLOTS: u32 = 8;
pub const ROUTE: u64 = 1;
/// Longest time that a request waits for a better upstream.
const WAIT_MAX: Duration = Duration::from_millis(300);
/// Time after which a waiting request is refused.
const REFUSED_AFTER: Duration = Duration::from_secs(10);
/// Step in which the work of a request is integrated over changing paces.
const STEP: Duration = Duration::from_millis(10);

/// State of an upstream that decides how long its work takes.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Number of the upstream.
    pub upstream: usize,
    /// Time since the start of the simulation.
    pub at: Duration,
    /// Requests that the upstream runs, including the one in question.
    pub running: u32,
}

/// Requests of a simulated load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests per second.
    pub rate: u32,
    /// Different objects.
    pub objects: u64,
    /// Duration of the load.
    pub span: Duration,
}

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    /// Number of the upstream that served it.
    pub upstream: usize,
    /// Time from its arrival to its answer.
    pub latency: Duration,
    /// When it was placed, since the start of the simulation.
    pub placed: Duration,
}

struct Waiting {
    object: u64,
    arrived: Instant,
}

struct Running {
    upstream: usize,
    list_index: Option<usize>,
    arrived: Instant,
    placed: Instant,
}

/// One pool of upstreams in one zone, and the requests that run there.
pub struct Simulation {
    pub now: Instant,
    pub upstreams: Upstreams,
    pub done: Vec<Done>,
    /// Whether answers carry the pace of the upstream's machine.
    pub reports_pace: bool,
    started: Instant,
    keys: Vec<UpstreamKey>,
    running: Vec<u32>,
    waiting: Vec<Waiting>,
    ends: BTreeMap<(Instant, u64), Running>,
    rng: SmallRng,
    sent: u64,
}

pub fn service() -> ServiceName {
    "dispatch".parse().expect("service")
}

fn zone() -> ZoneName {
    "north-a".parse().expect("zone")
}

pub fn registration(n: usize, born: u64) -> Registration {
    Registration {
        id: format!("north-a-{n}").parse().expect("id"),
        service: service(),
        address: ([127, 0, 0, 1], 9000 + n as u16).into(),
        zone: zone(),
        slots: SLOTS,
        standing: Standing::Ready,
        cold_for: Duration::ZERO,
        born: Some(born),
    }
}

impl Simulation {
    pub fn new(upstreams: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut all = Upstreams::default();
        let entries: Vec<_> = (0..upstreams).map(|n| registration(n, 1)).collect();
        let keys = entries.iter().map(|e| key_of(&e.id)).collect();
        for entry in entries {
            all.register(now, entry, None);
        }
        Self {
            now,
            upstreams: all,
            done: Vec::new(),
            reports_pace: false,
            started: now,
            keys,
            running: vec![0; upstreams],
            waiting: Vec::new(),
            ends: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            sent: 0,
        }
    }

    pub fn key(&self, upstream: usize) -> UpstreamKey {
        self.keys[upstream]
    }

    /// Time since the start of the simulation.
    pub fn at(&self) -> Duration {
        self.now - self.started
    }

    /// Sends requests at an even rate. `pace` is the factor by which work takes longer, with
    /// the number of running requests at its start.
    pub fn run(&mut self, load: Load, pace: impl Fn(Moment) -> f64) {
        let end = self.now + load.span;
        let gap = Duration::from_secs(1) / load.rate;
        let mut next = self.now;
        while next < end {
            while let Some((&(at, id), _)) = self.ends.first_key_value()
                && at <= next
            {
                self.now = at;
                self.finish((at, id), &pace);
            }
            self.now = next;
            self.upstreams.probe_limits(self.now);
            let object = self.rng.random_range(0..load.objects);
            let object = object.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            self.waiting.push(Waiting {
                object,
                arrived: next,
            });
            self.place_waiting(&pace);
            next += gap;
        }
    }

    fn place_waiting(&mut self, pace: &impl Fn(Moment) -> f64) {
        for w in std::mem::take(&mut self.waiting) {
            let wish = PlacementRequest {
                object: w.object,
                route: ROUTE,
                bytes: 0,
                zones: &[zone_hash(&zone())],
                excluded: &[],
                late: self.now >= w.arrived + WAIT_MAX,
                view: View::Scheduler,
            };
            let pool = self.upstreams.pool(&service()).expect("pool");
            match pick(pool, zone_hash(&zone()), &wish, self.now) {
                Pick::Upstream(key) => self.start(&w, key, pace),
                Pick::Wait(_) if self.now >= w.arrived + REFUSED_AFTER => {}
                Pick::Wait(_) => self.waiting.push(w),
            }
        }
    }

    fn start(&mut self, w: &Waiting, key: UpstreamKey, pace: &impl Fn(Moment) -> f64) {
        let upstream = self.keys.iter().position(|k| *k == key).expect("key");
        let list_index =
            self.upstreams
                .record_start(self.now, &service(), key, Some(w.object), None);
        self.running[upstream] += 1;
        let work = list_index.map_or(UNCACHED_WORK, |_| CACHED_WORK);
        // 3 in 100 requests take seven times as long.
        let work = match self.rng.random_range(0..100) {
            0..3 => work * 7,
            _ => work,
        };
        let mut left = work.as_secs_f64();
        let mut end = self.now;
        while left > 0.0 {
            let moment = Moment {
                upstream,
                at: end - self.started,
                running: self.running[upstream],
            };
            let factor = pace(moment);
            let step = STEP.as_secs_f64().min(left * factor);
            left -= step / factor;
            end += Duration::from_secs_f64(step).max(Duration::from_micros(1));
        }
        let running = Running {
            upstream,
            list_index,
            arrived: w.arrived,
            placed: self.now,
        };
        self.sent += 1;
        self.ends.insert((end, self.sent), running);
    }

    fn finish(&mut self, id: (Instant, u64), pace: &impl Fn(Moment) -> f64) {
        let Some(run) = self.ends.remove(&id) else {
            return;
        };
        let running = self.running[run.upstream];
        let moment = Moment {
            upstream: run.upstream,
            at: self.at(),
            running,
        };
        let percent = format!("{:.0}", pace(moment) * 100.0);
        let pace_report = PaceReport::parse(&percent).filter(|_| self.reports_pace);
        let ended = AttemptEnded {
            run: RunId(0),
            service: service(),
            key: self.keys[run.upstream],
            route: ROUTE,
            list_index: run.list_index,
            end: TryEnd::Whole,
            held: self.now - run.placed,
            load: Some(LoadReport {
                running,
                waiting: 0,
                pace: pace_report,
            }),
            answered: None,
            answer_bytes: None,
        };
        self.upstreams.record_end(self.now, &ended, |_| true);
        self.running[run.upstream] -= 1;
        self.done.push(Done {
            upstream: run.upstream,
            latency: self.now - run.arrived,
            placed: run.placed - self.started,
        });
        self.place_waiting(pace);
    }

    /// Returns the mean latency of the requests that were placed after `from`, in seconds.
    pub fn mean_latency(&self, from: Duration) -> f64 {
        let latencies = self.done.iter().filter(|d| d.placed >= from);
        let latencies: Vec<f64> = latencies.map(|d| d.latency.as_secs_f64()).collect();
        latencies.iter().sum::<f64>() / latencies.len() as f64
    }
}
