//! A stand-in for a caller.
//!
//! [`Caller`] asks the look-up, caches its answer, sends requests with keys and
//! request ids, repeats them through other hosts, and checks whole answers.

mod ask;
mod exchange;
mod lookup;
mod tally;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration, //
};

use hyper_util::{
    client::legacy::Client,
    rt::TokioExecutor, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::time::{
    Instant,
    sleep, //
};

use self::ask::UploadBody;
pub use self::{
    ask::{
        Ask,
        Upload, //
    },
    exchange::{
        Reply,
        Verdict, //
    },
    lookup::{
        LookupAnswer,
        LookupHost, //
    },
    tally::{
        Outcome,
        Tally, //
    },
};
use crate::error::StandinError;

/// Which requests a caller sends again through another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// None.
    Never,
    /// Idempotent ones, without an id.
    Idempotent,
    /// All; those that are not idempotent keep their request id.
    SameId,
}

/// The fixed properties of a caller.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name, the start of its tokens and nonces.
    pub name: String,
    /// The service that it looks up.
    pub service: String,
    /// The entry hosts that it asks, in order.
    pub entries: Vec<SocketAddr>,
    /// The key that it presents.
    pub key: Option<String>,
    /// How long it uses a look-up answer past its time to live.
    pub overstay: Duration,
    /// Which requests it sends again.
    pub repeats: Repeats,
    /// The most tries of one request.
    pub tries: u32,
    /// The pause before a repeat.
    pub pause: Duration,
    /// The longest time that one try takes.
    pub timeout: Duration,
    /// The seed of its choice between hosts.
    pub seed: u64,
}

impl Options {
    /// Returns a caller that repeats idempotent requests up to four times.
    pub fn new(name: &str, service: &str, entries: &[SocketAddr]) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            entries: entries.to_vec(),
            key: None,
            overstay: Duration::ZERO,
            repeats: Repeats::Idempotent,
            tries: 4,
            pause: Duration::ZERO,
            timeout: Duration::from_secs(10),
            seed: 1,
        }
    }

    /// Sets the key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets which requests are sent again.
    pub fn with_repeats(mut self, repeats: Repeats) -> Self {
        self.repeats = repeats;
        self
    }

    /// Sets the most tries of one request, and the pause between them.
    pub fn with_tries(mut self, tries: u32, pause: Duration) -> Self {
        self.tries = tries;
        self.pause = pause;
        self
    }

    /// Sets how long a look-up answer is used past its time to live.
    pub fn with_overstay(mut self, overstay: Duration) -> Self {
        self.overstay = overstay;
        self
    }
}

#[derive(Debug)]
struct State {
    cached: Option<(Instant, Arc<LookupAnswer>)>,
    rng: StdRng,
    tally: Tally,
}

/// A caller with its connections, its cached look-up and its tally.
#[derive(Debug)]
pub struct Caller {
    options: Options,
    client: Client<hyper_util::client::legacy::connect::HttpConnector, UploadBody>,
    numbers: AtomicU64,
    state: Mutex<State>,
}

impl Caller {
    /// Returns a caller that has asked nothing yet.
    pub fn new(options: Options) -> Self {
        let rng = StdRng::seed_from_u64(options.seed);
        let mut connector = hyper_util::client::legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        // What the caller repeats is its own decision.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            options,
            client,
            numbers: AtomicU64::new(0),
            state: Mutex::new(State {
                cached: None,
                rng,
                tally: Tally::new(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the outcomes so far.
    pub fn tally(&self) -> Tally {
        self.state().tally.clone()
    }

    /// Returns a text that this caller gives only once.
    pub fn token(&self) -> String {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.options.name)
    }

    /// Returns the look-up answer, asking only when the cached one is too old.
    pub async fn lookup(&self) -> Result<Arc<LookupAnswer>, StandinError> {
        if let Some((at, answer)) = self.state().cached.clone() {
            let ttl = Duration::from_millis(answer.ttl_ms) + self.options.overstay;
            if at.elapsed() < ttl {
                return Ok(answer);
            }
        }
        let answer = lookup::ask(&self.options).await?;
        let answer = Arc::new(answer);
        self.state().cached = Some((Instant::now(), Arc::clone(&answer)));
        Ok(answer)
    }

    /// Forgets the cached look-up answer.
    pub fn forget_lookup(&self) {
        self.state().cached = None;
    }

    /// Sends a request to a host that the look-up names, and again through
    /// others as its options allow.
    pub async fn send(&self, ask: &Ask) -> Result<Reply, StandinError> {
        let started = Instant::now();
        let ask = self.with_token(ask);
        let answer = self.lookup().await?;
        let mut hosts = self.order(&answer);
        let first = hosts.first().cloned();
        let first = first.ok_or_else(|| StandinError::Call {
            target: format!("the look-up of {}", self.options.service),
            cause: "it names no host".to_owned(),
        })?;
        let id = (!ask.idempotent).then(|| first.request_id(&self.token()));
        let mut tried = Vec::new();
        loop {
            let host = hosts[0].address;
            let mut reply = self.exchange(host, &ask, id.as_deref()).await;
            tried.push(host);
            reply.tries = u32::try_from(tried.len()).unwrap_or(u32::MAX);
            reply.latency = started.elapsed();
            if reply.tries >= self.options.tries || !self.repeats(&ask, &reply) {
                self.state().tally.add(&reply);
                return Ok(reply);
            }
            log::debug!("event=repeat host={host} token={} {reply}", ask.token);
            sleep(self.options.pause).await;
            self.forget_lookup();
            let answer = self.lookup().await;
            let new = answer.as_ref().map_or(&[][..], |a| &a.hosts);
            hosts = lookup::untried_first(new, &hosts, &tried);
        }
    }

    /// Sends a request once, to one address, with a request id if given.
    pub async fn send_to(&self, address: SocketAddr, ask: &Ask, id: Option<&str>) -> Reply {
        let ask = self.with_token(ask);
        let reply = self.exchange(address, &ask, id).await;
        self.state().tally.add(&reply);
        reply
    }

    fn with_token(&self, ask: &Ask) -> Ask {
        let mut ask = ask.clone();
        if ask.token.is_empty() {
            ask.token = self.token();
        }
        ask
    }

    /// Returns the hosts to try: one by weight, then the others in their order.
    fn order(&self, answer: &LookupAnswer) -> Vec<LookupHost> {
        let mut hosts = answer.hosts.clone();
        let total: u64 = hosts.iter().map(|h| u64::from(h.weight)).sum();
        if total == 0 {
            return hosts;
        }
        let mut drawn = self.state().rng.random_range(0..total);
        for i in 0..hosts.len() {
            let weight = u64::from(hosts[i].weight);
            if drawn >= weight {
                drawn -= weight;
                continue;
            }
            hosts[..=i].rotate_right(1);
            break;
        }
        hosts
    }

    fn repeats(&self, ask: &Ask, reply: &Reply) -> bool {
        match self.options.repeats {
            Repeats::Never => false,
            Repeats::Idempotent => ask.idempotent && reply.calls_for_repeat(),
            Repeats::SameId => reply.calls_for_repeat(),
        }
    }
}
