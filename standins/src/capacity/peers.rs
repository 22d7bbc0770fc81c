//! Light entry hosts, in this process.
//!
//! Each keeps the membership that a real host keeps and speaks its control
//! protocol; it has no gateway, budgets or configuration. Among themselves they
//! exchange heartbeats in memory, with the real host over TCP, where every byte
//! is counted.

use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::Pin, //
    sync::{
        Arc,
        Mutex, //
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use cardamomroad::{
    control::{
        ControlReply,
        ControlRequest,
        HeartbeatMessage,
        Ledgers,
        decode,
        encode, //
    },
    ledger::Revision,
    membership::{
        Contact,
        Facts,
        HEARTBEAT_PERIOD,
        Membership,
        Probe, //
    },
    role::Role,
    store::{
        ListedHost,
        ListedState, //
    },
    util::id::{
        HostName,
        Incarnation,
        ZoneName, //
    },
    wire,
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    Response,
    body::Incoming,
    client::conn::http1 as client,
    server::conn::http1 as server,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use smallvec::SmallVec;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        Instant,
        interval, //
    },
};

use crate::error::StandinError;

/// The name of the real host.
pub const REAL: &str = "real";

/// Bytes that passed between the light peers and the real host.
#[derive(Debug, Default)]
pub struct Traffic {
    /// From the real host.
    pub sent: AtomicU64,
    /// To the real host.
    pub received: AtomicU64,
    /// Heartbeats that the real host asked with or answered.
    pub beats: AtomicU64,
}

/// One light host.
struct Light {
    membership: Membership,
    zone: ZoneName,
    rng: StdRng,
}

impl Light {
    fn new(host: &ListedHost, number: u64) -> Self {
        let contact = Contact {
            zone: host.zone.clone(),
            callers: host.callers,
            peers: host.peers,
        };
        let incarnation = Incarnation(1 + number);
        let name = host.name.clone();
        Self {
            membership: Membership::new(name, contact, incarnation, Instant::now()),
            zone: host.zone.clone(),
            rng: StdRng::seed_from_u64(number),
        }
    }
}

/// The light hosts of all zones.
pub struct Peers {
    lights: HashMap<HostName, Mutex<Light>>,
    /// The peers' addresses, in the order of their numbers.
    pub listed: Vec<ListedHost>,
    /// What passed between them and the real host.
    pub traffic: Arc<Traffic>,
    /// The real host's last heartbeat.
    last: Mutex<Option<HeartbeatMessage>>,
    secret: String,
}

impl Peers {
    /// Starts light hosts, so many in each zone.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(
        zones: &[(ZoneName, usize)],
        secret: &str,
    ) -> Result<Arc<Self>, StandinError> {
        let mut lights = HashMap::new();
        let mut listed = Vec::new();
        let mut listeners = Vec::new();
        for (zone, number) in zones {
            for name in names(zone, *number)? {
                let listener = crate::process::bind(SocketAddr::from(([127, 0, 4, 1], 0))).await?;
                let address = crate::process::local_address(&listener)?;
                let host = ListedHost {
                    name: name.clone(),
                    zone: zone.clone(),
                    callers: address,
                    peers: address,
                    state: ListedState::Live,
                };
                let light = Light::new(&host, lights.len() as u64);
                lights.insert(name.clone(), Mutex::new(light));
                listed.push(host);
                listeners.push((name, listener));
            }
        }
        let peers = Arc::new(Self {
            lights,
            listed,
            traffic: Arc::default(),
            last: Mutex::new(None),
            secret: secret.to_owned(),
        });
        for (name, listener) in listeners {
            tokio::spawn(accept(peers.clone(), name, listener));
        }
        Ok(peers)
    }

    /// Tells the light hosts of the whole list, and starts their periods.
    pub fn run(self: &Arc<Self>, list: &[ListedHost]) {
        for light in self.lights.values() {
            let mut light = lock(light);
            light.membership.on_list(Instant::now(), list);
        }
        tokio::spawn(periods(self.clone()));
    }

    fn answer(&self, name: &HostName, msg: ControlRequest) -> ControlReply {
        match msg {
            ControlRequest::Beat(beat) => {
                self.traffic.beats.fetch_add(1, Ordering::Relaxed);
                let reply = self.on_beat(name, &beat);
                *lock(&self.last) = Some(*beat);
                ControlReply::Beat(Box::new(reply))
            }
            ControlRequest::Loan(_) => ControlReply::Loan(None),
            ControlRequest::Ledgers(_) => ControlReply::Ledgers(Ledgers {
                zone: lock(&self.lights[name]).zone.clone(),
                counts: false,
                revision: Revision(0),
                ledgers: Vec::new(),
            }),
            ControlRequest::Plans => ControlReply::Plans(Vec::new()),
            ControlRequest::Probe(_) => ControlReply::Probed(None),
            ControlRequest::Suspects(_) => ControlReply::Suspects(Vec::new()),
            ControlRequest::Configuration(_) | ControlRequest::Withdrawn(_) => ControlReply::Done,
        }
    }

    fn on_beat(&self, name: &HostName, beat: &HeartbeatMessage) -> HeartbeatMessage {
        let now = Instant::now();
        let mut light = lock(&self.lights[name]);
        let Light {
            membership, rng, ..
        } = &mut *light;
        membership.set_facts(now, self.facts());
        let heartbeat = membership.on_heartbeat(now, &beat.heartbeat, rng);
        HeartbeatMessage {
            heartbeat,
            ..self.like_last(beat)
        }
    }

    /// Returns facts that agree with the real host's, so that it asks for nothing more.
    fn facts(&self) -> Facts {
        let last = lock(&self.last);
        let facts = last.as_ref().map(|b| b.heartbeat.facts.clone());
        facts.unwrap_or_default()
    }

    fn like_last(&self, beat: &HeartbeatMessage) -> HeartbeatMessage {
        HeartbeatMessage {
            heartbeat: beat.heartbeat.clone(),
            loads: beat.loads.clone(),
            ledgers: beat.ledgers,
            plans: beat.plans,
            released: false,
        }
    }

    fn beat_to(&self, from: &HostName, to: &HostName) -> Option<HeartbeatMessage> {
        let last = lock(&self.last).clone();
        let now = Instant::now();
        let mut light = lock(&self.lights[from]);
        let Light {
            membership, rng, ..
        } = &mut *light;
        membership.set_facts(now, self.facts());
        let heartbeat = membership.heartbeat(now, to, rng);
        let (loads, ledgers, plans) = match last {
            Some(last) => (last.loads, last.ledgers, last.plans),
            None => (SmallVec::new(), 0, 0),
        };
        Some(HeartbeatMessage {
            heartbeat,
            loads,
            ledgers,
            plans,
            released: false,
        })
    }
}

/// Returns names of light hosts that leave the zone's relay to the real host.
fn names(zone: &ZoneName, number: usize) -> Result<Vec<HostName>, StandinError> {
    let malformed = |_| StandinError::Ended {
        name: "light host".to_owned(),
        said: "its name is malformed".to_owned(),
    };
    let relay = Role::Relay(zone.clone());
    let real = relay.rank(&REAL.parse().map_err(malformed)?);
    let mut names = Vec::new();
    for i in 0.. {
        if names.len() == number {
            break;
        }
        let name: HostName = format!("{zone}-light-{i:04}").parse().map_err(malformed)?;
        if relay.rank(&name) > real {
            names.push(name);
        }
    }
    Ok(names)
}

async fn periods(peers: Arc<Peers>) {
    let mut period = interval(HEARTBEAT_PERIOD);
    let names: Vec<HostName> = peers.lights.keys().cloned().collect();
    loop {
        period.tick().await;
        for name in &names {
            let probes = {
                let mut light = lock(&peers.lights[name]);
                let Light {
                    membership, rng, ..
                } = &mut *light;
                membership.tick(Instant::now());
                membership.probes(Instant::now(), rng)
            };
            for probe in probes {
                if let Probe::Direct { to, address } = probe {
                    tokio::spawn(beat(peers.clone(), name.clone(), to, address));
                }
            }
        }
    }
}

async fn beat(peers: Arc<Peers>, from: HostName, to: HostName, address: SocketAddr) {
    let Some(msg) = peers.beat_to(&from, &to) else {
        return;
    };
    if peers.lights.contains_key(&to) {
        let reply = peers.on_beat(&to, &msg);
        let mut light = lock(&peers.lights[&from]);
        light.membership.on_reply(Instant::now(), &reply.heartbeat);
        return;
    }
    peers.traffic.beats.fetch_add(1, Ordering::Relaxed);
    let reply = call(&peers, address, msg).await;
    let mut light = lock(&peers.lights[&from]);
    match reply {
        Some(reply) => {
            light.membership.on_reply(Instant::now(), &reply.heartbeat);
            *lock(&peers.last) = Some(*reply);
        }
        None => light.membership.on_probe_timeout(Instant::now(), &to),
    }
}

/// Sends a heartbeat to the real host on a connection of its own.
async fn call(
    peers: &Arc<Peers>,
    address: SocketAddr,
    beat: HeartbeatMessage,
) -> Option<Box<HeartbeatMessage>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let io = TokioIo::new(Counted::new(stream, peers.traffic.clone()));
    let (mut sender, connection) = client::handshake(io).await.ok()?;
    tokio::spawn(connection);
    let body = encode(&ControlRequest::Beat(Box::new(beat))).ok()?;
    let req = Request::post(wire::CONTROL_PREFIX)
        .header("host", address.to_string())
        .header(wire::FLEET_SECRET, &peers.secret)
        .body(Full::new(body))
        .ok()?;
    let res = sender.send_request(req).await.ok()?;
    let body = res.into_body().collect().await.ok()?.to_bytes();
    match decode(&body).ok()? {
        ControlReply::Beat(beat) => Some(beat),
        _ => None,
    }
}

async fn accept(peers: Arc<Peers>, name: HostName, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let io = TokioIo::new(Counted::new(stream, peers.traffic.clone()));
        let (peers, name) = (peers.clone(), name.clone());
        let service = service_fn(move |req| serve(peers.clone(), name.clone(), req));
        tokio::spawn(server::Builder::new().serve_connection(io, service));
    }
}

async fn serve(
    peers: Arc<Peers>,
    name: HostName,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let body = req.into_body().collect().await?.to_bytes();
    let reply = match decode(&body) {
        Ok(msg) => encode(&peers.answer(&name, msg)),
        Err(e) => Err(e),
    };
    Ok(Response::new(Full::new(reply.unwrap_or_default())))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// A connection to the real host whose bytes are counted.
struct Counted {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl Counted {
    fn new(stream: TcpStream, traffic: Arc<Traffic>) -> Self {
        Self { stream, traffic }
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.traffic.sent.fetch_add(read as u64, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &result {
            self.traffic
                .received
                .fetch_add(*n as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
