//! A stand-in for a caller.
//!
//! [`Caller`] looks up hosts and caches the answer, sends requests with keys and
//! request ids, retries them through other hosts, and verifies complete answers.

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
        RequestStats, //
    },
};
use crate::error::StandinError;

/// Which requests a caller retries through another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// No requests.
    Never,
    /// Idempotent requests, which carry no request id.
    Idempotent,
    /// All requests; those that are not idempotent keep their request id.
    SameId,
}

/// The settings of a caller, fixed for its lifetime.
#[derive(Clone, Debug)]
pub struct Options {
    /// The caller's name, the prefix of its tokens and nonces.
    pub name: String,
    /// The service to look up.
    pub service: String,
    /// The addresses of the entry hosts to ask for a look-up, in order.
    pub entries: Vec<SocketAddr>,
    /// The key to send as bearer token; `None` sends no key.
    pub key: Option<String>,
    /// How long a cached look-up answer is used past its time to live.
    pub overstay: Duration,
    /// Which requests to retry.
    pub repeats: Repeats,
    /// The maximum number of attempts for one request, the first included.
    pub attempts: u32,
    /// The pause before a retry.
    pub pause: Duration,
    /// The timeout of one attempt, and of one look-up call to an entry host.
    pub timeout: Duration,
    /// The seed of the random choice between hosts.
    pub seed: u64,
}

impl Options {
    /// Returns the settings of a caller that makes up to four attempts for idempotent requests.
    pub fn new(name: &str, service: &str, entries: &[SocketAddr]) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            entries: entries.to_vec(),
            key: None,
            overstay: Duration::ZERO,
            repeats: Repeats::Idempotent,
            attempts: 4,
            pause: Duration::ZERO,
            timeout: Duration::from_secs(10),
            seed: 1,
        }
    }

    /// Sets the key to send.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets which requests to retry.
    pub fn with_repeats(mut self, repeats: Repeats) -> Self {
        self.repeats = repeats;
        self
    }

    /// Sets the maximum number of attempts for one request, and the pause between them.
    pub fn with_tries(mut self, attempts: u32, pause: Duration) -> Self {
        self.attempts = attempts;
        self.pause = pause;
        self
    }

    /// Sets how long a cached look-up answer is used past its time to live.
    pub fn with_overstay(mut self, overstay: Duration) -> Self {
        self.overstay = overstay;
        self
    }
}

#[derive(Debug)]
struct State {
    cached: Option<(Instant, Arc<LookupAnswer>)>,
    rng: StdRng,
    tally: RequestStats,
}

/// A caller with its connections, its cached look-up answer and its statistics.
#[derive(Debug)]
pub struct Caller {
    options: Options,
    client: Client<hyper_util::client::legacy::connect::HttpConnector, UploadBody>,
    next_number: AtomicU64,
    state: Mutex<State>,
}

impl Caller {
    /// Returns a caller with no connections and no cached look-up answer.
    pub fn new(options: Options) -> Self {
        let rng = StdRng::seed_from_u64(options.seed);
        let mut connector = hyper_util::client::legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        // Retries are decided by `Options::repeats`, not by the HTTP client.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            options,
            client,
            next_number: AtomicU64::new(0),
            state: Mutex::new(State {
                cached: None,
                rng,
                tally: RequestStats::new(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the statistics of the requests sent so far.
    pub fn tally(&self) -> RequestStats {
        self.state().tally.clone()
    }

    /// Returns a token that is unique among those of this caller.
    pub fn token(&self) -> String {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.options.name)
    }

    /// Returns the look-up answer, from the cache unless that has expired.
    pub async fn lookup(&self) -> Result<Arc<LookupAnswer>, StandinError> {
        if let Some((fetched_at, answer)) = self.state().cached.clone() {
            let ttl = Duration::from_millis(answer.ttl_ms) + self.options.overstay;
            if fetched_at.elapsed() < ttl {
                return Ok(answer);
            }
        }
        let answer = lookup::fetch(&self.options).await?;
        let answer = Arc::new(answer);
        self.state().cached = Some((Instant::now(), Arc::clone(&answer)));
        Ok(answer)
    }

    /// Drops the cached look-up answer.
    pub fn forget_lookup(&self) {
        self.state().cached = None;
    }

    /// Sends a request to a host from the look-up, and retries it through other
    /// hosts as the options allow.
    pub async fn send(&self, ask: &Ask) -> Result<Reply, StandinError> {
        let started = Instant::now();
        let ask = self.with_token(ask);
        let answer = self.lookup().await?;
        let mut hosts = self.order_by_weight(&answer);
        let first = hosts.first().cloned();
        let first = first.ok_or_else(|| StandinError::Call {
            target: format!("the look-up of {}", self.options.service),
            cause: "the answer lists no hosts".to_owned(),
        })?;
        let id = (!ask.idempotent).then(|| first.request_id(&self.token()));
        let mut tried = Vec::new();
        loop {
            let host = hosts[0].address;
            let mut reply = self.exchange(host, &ask, id.as_deref()).await;
            tried.push(host);
            reply.attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX);
            reply.latency = started.elapsed();
            if reply.attempts >= self.options.attempts || !self.repeats(&ask, &reply) {
                self.state().tally.add(&reply);
                return Ok(reply);
            }
            log::debug!("event=repeat host={host} token={} {reply}", ask.token);
            sleep(self.options.pause).await;
            self.forget_lookup();
            let answer = self.lookup().await;
            let new = answer.as_ref().map_or(&[][..], |a| &a.hosts);
            hosts = lookup::least_tried_first(new, &hosts, &tried);
        }
    }

    /// Sends a request to one address without retries, with a request id if given.
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

    /// Returns the hosts to try: first one chosen at random by weight, then the others in their order.
    fn order_by_weight(&self, answer: &LookupAnswer) -> Vec<LookupHost> {
        let mut hosts = answer.hosts.clone();
        let total: u64 = hosts.iter().map(|h| u64::from(h.weight)).sum();
        if total == 0 {
            return hosts;
        }
        let mut remaining = self.state().rng.random_range(0..total);
        for i in 0..hosts.len() {
            let weight = u64::from(hosts[i].weight);
            if remaining >= weight {
                remaining -= weight;
                continue;
            }
            hosts[..=i].rotate_right(1);
            break;
        }
        hosts
    }

    /// Returns whether the options call for a retry after this reply.
    fn repeats(&self, ask: &Ask, reply: &Reply) -> bool {
        match self.options.repeats {
            Repeats::Never => false,
            Repeats::Idempotent => ask.idempotent && reply.is_retryable(),
            Repeats::SameId => reply.is_retryable(),
        }
    }
}
