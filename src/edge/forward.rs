//! Forwards a request from a caller to an upstream, with retries.

mod answer_body;
mod body;
pub(super) mod job;

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::AtomicU64, //
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use hyper::{
    Request, Response,
    body::Incoming,
    header,
    http::{
        request,
        response, //
    },
};
use tokio::{
    sync::{
        oneshot,
        watch, //
    },
    time::{
        Instant,
        sleep,
        sleep_until,
        timeout_at, //
    },
};
use xtra::Address;

use self::{
    answer_body::{
        Collected,
        collect,
        is_usable,
        return_connection,
        streamed_body, //
    },
    body::BufferedBytes,
    job::{
        job,
        route,
        suspect, //
    },
};
use super::{
    caller_timeouts::CallerTimeouts,
    dialect::{
        AnswerHead,
        CallerHead,
        Dialect,
        UpstreamHead, //
    },
    dispatcher::Dispatcher,
    log_limit::LogRateLimit,
    message::{
        ConfirmedConfiguration,
        Job,
        PlacementDecision,
        RefundToken,
        RefusalReason,
        Refused,
        ReservedSlot,
        Submit,
        UpstreamCrashed,
        UpstreamNotice,
        UpstreamSaid, //
    },
    metrics::EdgeMetrics,
    model::Configuration,
    relay::SuspendAwareInstant,
    request_error::RequestError,
    upstreams::TryEnd,
};
use crate::{
    body::{
        ProxyBody,
        full, //
    },
    connection::{
        self,
        ConnectionLease,
        Connections,
        SendError, //
    },
    gateway::head::{
        self,
        remove_hop_by_hop, //
    },
    held_bytes::HeldBytes,
    post::post,
    quarantine::Suspect,
    util::{
        id::KeyDigest,
        time::SaturatingAdd, //
    },
};

/// How long after the deadline an upstream's answer is still accepted; it may be in
/// transit when the deadline passes.
pub(super) const LATE_ANSWER_GRACE: Duration = Duration::from_millis(120);
/// The shortest time in which an upstream can answer; a request with less time left is
/// not sent.
const ANSWER_TIME_MIN: Duration = Duration::from_millis(20);
/// Delay between a lost answer and the check whether the upstream still listens. The port
/// of a crashed process closes at once.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(5);
/// How long the result of a key check is valid. If the request waited longer or the host
/// was suspended meanwhile, the key is checked again before the request is sent.
const KEY_CHECK_MAX_AGE: Duration = Duration::from_millis(300);
/// Retry-after value for a caller whose request found no usable upstream.
pub(super) const BUSY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-after value of a host that is stopping; the retry goes to another host.
pub(super) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// State shared by all requests of a host.
pub struct Gateway<D> {
    /// Chooses the upstream for each request.
    pub dispatcher: Address<Dispatcher>,
    /// The configuration in force; empty until the first one has been read.
    pub configuration: Arc<ArcSwapOption<Configuration>>,
    /// Pool of connections to upstreams.
    pub connections: Connections,
    /// Translates the platform's headers and look-ups.
    pub dialect: D,
    /// The most recent caller timeouts, by route prefix.
    pub caller_timeouts: Mutex<HashMap<Bytes, CallerTimeouts>>,
    /// Counters and histograms of this host.
    pub metrics: Arc<EdgeMetrics>,
    /// Bytes of request bodies that are buffered now.
    pub buffered_bytes: Arc<AtomicU64>,
    /// Bytes of request bodies that may be buffered at once.
    pub buffered_bytes_max: u64,
    /// Bytes that are held for clients now, apart from the bodies of their requests.
    pub held_bytes: HeldBytes,
    /// When the last answers are given, once the host is stopping.
    pub last_answer_at: watch::Receiver<Option<Instant>>,
    /// Limits the log lines for answered requests.
    pub answered_lines: LogRateLimit,
    /// Limits the log lines for requests that got no answer from an upstream.
    pub ended_lines: LogRateLimit,
}

/// A request whose head and body have been read.
struct Call {
    parts: request::Parts,
    id: Bytes,
    body: Bytes,
    _buffered: BufferedBytes,
    idempotent: bool,
    tries: usize,
    /// The digest of the caller's key, if the request needs one.
    key: Option<KeyDigest>,
    /// When the key was last checked.
    key_checked_at: SuspendAwareInstant,
    job: Job,
}

/// How one attempt at an upstream ended.
enum TryOutcome {
    /// The upstream sent an answer that can be forwarded.
    Answer(Response<ProxyBody>),
    /// The upstream is known not to have run the request.
    NotRun,
    /// The upstream may have run the request, but no usable answer came.
    Lost,
    /// No answer came in time; the upstream may have run the request.
    TimedOut,
}

impl<D: Dialect> Gateway<D> {
    /// Serves a caller's request, then logs and counts how it ended.
    pub async fn serve(&self, req: Request<Incoming>) -> Response<ProxyBody> {
        let received = Instant::now();
        let _serving = Serving::new(&self.metrics);
        let (mut parts, body) = req.into_parts();
        let head = self.dialect.extract_caller_head(&mut parts);
        let id = head.id.clone().unwrap_or_default();
        let result = match self.prepare(received, parts, head, body).await {
            Ok(mut call) => self.run(&mut call).await,
            Err(error) => Err(error),
        };
        let duration = received.elapsed();
        let held_ms = duration.as_millis() as u64;
        match result {
            Ok(res) => {
                let status = res.status().as_u16();
                self.metrics.answered(status, duration);
                if self.answered_lines.allows("request-answered") {
                    log::info!(
                        event = "request-answered",
                        id:% = String::from_utf8_lossy(&id),
                        status,
                        held_ms;
                        ""
                    );
                }
                res
            }
            Err(error) => {
                let status = error.status().as_u16();
                self.metrics.ended(error.as_str(), status);
                if self.ended_lines.allows("request-ended") {
                    log::info!(
                        event = "request-ended",
                        id:% = String::from_utf8_lossy(&id),
                        why = error.as_str(),
                        status,
                        held_ms;
                        ""
                    );
                }
                error.response(&self.dialect)
            }
        }
    }

    async fn prepare(
        &self,
        received: Instant,
        mut parts: request::Parts,
        head: CallerHead,
        body: Incoming,
    ) -> Result<Call, RequestError> {
        let key_checked_at = SuspendAwareInstant::now();
        let mut cfg = self
            .configuration
            .load_full()
            .ok_or(RequestError::NotReady)?;
        let id = head.id.clone().ok_or(RequestError::BadHead)?;
        if head.key.is_some() {
            cfg = self.confirmed_configuration().await?;
        }
        let mut routed = route(&cfg, &parts, &head);
        let confirmed;
        // A key may be missing on a route that needs none any more.
        if head.key.is_none() && matches!(routed, Err(RequestError::Key)) {
            confirmed = self.confirmed_configuration().await?;
            routed = route(&confirmed, &parts, &head);
        }
        let routed = routed?;
        let caller_timeout = head.caller_timeout.unwrap_or(routed.route.timeout);
        let deadline = received.saturating_add(caller_timeout.min(routed.route.timeout));
        let mut job = job(&routed, &head, &id, received, deadline).ok_or(RequestError::NotRun(
            RefusalReason::NoUpstream,
            BUSY_RETRY_AFTER,
        ))?;
        job.lost_time = self.time_lost(&routed.route.prefix, caller_timeout);
        let (idempotent, tries) = (routed.route.idempotent, routed.route.tries as usize);
        let key = head.key.filter(|_| routed.organisation.is_some());
        let (body, buffered) = self.read_body(body, cfg.body_bytes_max, deadline).await?;
        job.bytes = body.len() as u64;
        job.suspect = suspect(&job, &parts, &body);
        remove_hop_by_hop(&mut parts.headers);
        parts.headers.remove(header::EXPECT);
        Ok(Call {
            parts,
            id,
            body,
            _buffered: buffered,
            idempotent,
            tries,
            key: key.map(|key| KeyDigest::of(&key)),
            key_checked_at,
            job,
        })
    }

    /// Estimates the time that the caller already lost with earlier attempts.
    fn time_lost(&self, route: &Bytes, caller_timeout: Duration) -> Duration {
        let timeouts = self.caller_timeouts.lock();
        let mut timeouts = timeouts.unwrap_or_else(PoisonError::into_inner);
        let timeouts = timeouts.entry(route.clone()).or_default();
        timeouts.record(caller_timeout)
    }

    /// Sends a request to upstreams until one answers or no further attempt is allowed.
    async fn run(&self, call: &mut Call) -> Result<Response<ProxyBody>, RequestError> {
        let mut timed_out = false;
        loop {
            let placed = match self.choose_upstream(call).await {
                PlacementDecision::Send(placed) => *placed,
                PlacementDecision::Refused(refused) => {
                    return Err(unanswered(call, timed_out, refused));
                }
            };
            if let Err(error) = self.check_key(call).await {
                return Err(match call.job.may_have_run {
                    true => RequestError::Lost,
                    false => error,
                });
            }
            call.job.tried.push(placed.key);
            match self.send(call, placed).await {
                TryOutcome::Answer(res) => return Ok(res),
                TryOutcome::NotRun => {}
                TryOutcome::Lost => call.job.may_have_run = true,
                TryOutcome::TimedOut => {
                    call.job.may_have_run = true;
                    timed_out = true;
                }
            }
            let may_retry = call.idempotent || !call.job.may_have_run;
            let has_time = Instant::now() + ANSWER_TIME_MIN < call.job.deadline;
            if !may_retry || !has_time || call.job.tried.len() >= call.tries {
                let refused = Refused {
                    reason: RefusalReason::TriesExhausted,
                    retry_after: BUSY_RETRY_AFTER,
                };
                if let (Some(organisation), false) = (&call.job.organisation, call.job.may_have_run)
                {
                    let organisation = organisation.clone();
                    post(&self.dispatcher, RefundToken { organisation });
                }
                return Err(unanswered(call, timed_out, refused));
            }
        }
    }

    /// Waits until the host is stopping and the last answers are due.
    async fn last_answers_due(&self) {
        let mut last_answer_at = self.last_answer_at.clone();
        loop {
            let Ok(at) = last_answer_at.wait_for(Option::is_some).await.map(|at| *at) else {
                return std::future::pending().await;
            };
            tokio::select! {
                () = sleep_until(at.unwrap_or_else(Instant::now)) => return,
                // The grace period has changed.
                Ok(()) = last_answer_at.changed() => {}
            }
        }
    }

    /// Returns the configuration to check keys against. Fails while it may lack the withdrawal of
    /// a key.
    async fn confirmed_configuration(&self) -> Result<Arc<Configuration>, RequestError> {
        let confirmed = self.dispatcher.send(ConfirmedConfiguration).await;
        confirmed.ok().flatten().ok_or(RequestError::NotReady)
    }

    /// Checks the caller's key again if the last check is older than the limit.
    async fn check_key(&self, call: &mut Call) -> Result<(), RequestError> {
        let Some(key) = &call.key else {
            return Ok(());
        };
        if call.key_checked_at.age() < KEY_CHECK_MAX_AGE {
            return Ok(());
        }
        let key_checked_at = SuspendAwareInstant::now();
        let cfg = self.confirmed_configuration().await?;
        let index = cfg.keys.get(key);
        let organisation = index.and_then(|&index| cfg.organisations.get(index));
        if organisation.map(|o| &o.name) != call.job.organisation.as_ref() {
            return Err(match cfg.unreadable_parts {
                0 => RequestError::Key,
                _ => RequestError::NotReady,
            });
        }
        call.key_checked_at = key_checked_at;
        Ok(())
    }

    async fn choose_upstream(&self, call: &Call) -> PlacementDecision {
        let (reply, verdict) = oneshot::channel();
        let msg = Submit {
            job: call.job.clone(),
            reply,
        };
        let unavailable = PlacementDecision::Refused(Refused {
            reason: RefusalReason::NoUpstream,
            retry_after: BUSY_RETRY_AFTER,
        });
        if self.dispatcher.send(msg).await.is_err() {
            log::error!(event = "actor-gone"; "");
            return unavailable;
        }
        verdict.await.unwrap_or(unavailable)
    }

    async fn send(&self, call: &Call, mut placed: ReservedSlot) -> TryOutcome {
        let time_left = call.job.deadline.saturating_duration_since(Instant::now());
        if time_left < ANSWER_TIME_MIN {
            return TryOutcome::NotRun;
        }
        let mut req = head::outgoing(&call.parts, full(call.body.clone()));
        let head = UpstreamHead {
            time_left,
            upstream: &placed.id,
            organisation: call.job.organisation.as_ref(),
        };
        self.dialect.set_upstream_head(req.headers_mut(), &head);
        let send = self.connections.send(placed.address, req);
        let until = call.job.deadline.saturating_add(LATE_ANSWER_GRACE);
        let exchange = match timeout_at(until, send).await {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(SendError::NotSent { cause, .. })) => {
                log::info!(event = "upstream-unreachable", upstream:% = placed.id, cause:%; "");
                placed.ended(TryEnd::Unreachable);
                return TryOutcome::NotRun;
            }
            Ok(Err(SendError::Lost { cause, .. })) => {
                log::info!(
                    event = "answer-lost",
                    id:% = call.job.id,
                    upstream:% = placed.id,
                    cause:%;
                    ""
                );
                placed.ended(TryEnd::Lost);
                self.report_if_crashed(&placed, call.job.suspect);
                return TryOutcome::Lost;
            }
            Err(_) => {
                placed.ended(TryEnd::TimedOut);
                return TryOutcome::TimedOut;
            }
        };
        let (parts, body) = exchange.res.into_parts();
        let head = self.dialect.answer_head(&parts);
        if head.id.as_ref() != Some(&call.id) {
            log::info!(event = "answer-foreign", id:% = call.job.id, upstream:% = placed.id; "");
            placed.ended(TryEnd::Lost);
            return TryOutcome::Lost;
        }
        placed.reported(head.load);
        self.report_notices(&placed, &head);
        if head.not_run || head.misdirected {
            placed.ended(match head.misdirected {
                true => TryEnd::Misdirected,
                false => TryEnd::Shed,
            });
            let collected = collect(body, until, &self.held_bytes).await;
            let is_whole = matches!(collected, Collected::Whole(_));
            if !head.misdirected && is_whole {
                return_connection(exchange.lease, &head);
            }
            return TryOutcome::NotRun;
        }
        self.receive_answer(call, placed, parts, head, body, exchange.lease)
            .await
    }

    /// Reports what an upstream has said about itself in an answer to a request of this host. An
    /// answer of another upstream, which has taken over the address, says nothing about this one.
    fn report_notices(&self, placed: &ReservedSlot, head: &AnswerHead) {
        if head.misdirected {
            return;
        }
        let report = |notice| {
            let msg = UpstreamSaid {
                key: placed.key,
                upstream: placed.start,
                notice,
            };
            post(&self.dispatcher, msg);
        };
        if head.leaving {
            self.connections.close_idle(placed.address);
            report(UpstreamNotice::Leaving);
        }
        if let Some(pause) = head.pause {
            report(UpstreamNotice::Pause(pause));
        }
    }

    /// Checks whether an upstream that lost a request has crashed, and reports it.
    fn report_if_crashed(&self, placed: &ReservedSlot, suspect: Suspect) {
        let (dispatcher, upstream) = (self.dispatcher.clone(), placed.start);
        tokio::spawn(async move {
            sleep(CRASH_CHECK_DELAY).await;
            if connection::is_refused(upstream.address).await {
                post(&dispatcher, UpstreamCrashed { upstream, suspect });
            }
        });
    }

    /// Reads an answer and prepares it for the caller.
    async fn receive_answer(
        &self,
        call: &Call,
        mut placed: ReservedSlot,
        mut parts: response::Parts,
        head: AnswerHead,
        body: Incoming,
        lease: ConnectionLease,
    ) -> TryOutcome {
        remove_hop_by_hop(&mut parts.headers);
        let until = call.job.deadline.saturating_add(LATE_ANSWER_GRACE);
        let bytes = match collect(body, until, &self.held_bytes).await {
            Collected::Whole(bytes) => bytes,
            Collected::Partial(read, rest) if is_usable(&parts, &head) => {
                let suspect = call.job.suspect;
                let body = streamed_body(read, rest, until, placed, suspect, lease, head);
                return TryOutcome::Answer(Response::from_parts(parts, body));
            }
            Collected::Partial(..) | Collected::Broken => {
                log::info!(event = "answer-broken", id:% = call.job.id, upstream:% = placed.id; "");
                placed.ended(TryEnd::Lost);
                self.report_if_crashed(&placed, call.job.suspect);
                return TryOutcome::Lost;
            }
        };
        placed.ended(TryEnd::Whole);
        return_connection(lease, &head);
        if !is_usable(&parts, &head) {
            log::info!(
                event = "answer-unusable",
                id:% = call.job.id,
                upstream:% = placed.id,
                status = parts.status.as_u16();
                ""
            );
            return TryOutcome::Lost;
        }
        placed.received(bytes.len() as u64);
        if head.has_server_stamp {
            placed.answered(call.job.suspect);
        }
        TryOutcome::Answer(Response::from_parts(parts, full(bytes)))
    }
}

/// Counts a request as in flight until it is dropped.
struct Serving<'a>(&'a EdgeMetrics);

impl<'a> Serving<'a> {
    fn new(metrics: &'a EdgeMetrics) -> Self {
        metrics.in_flight.inc();
        Self(metrics)
    }
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        self.0.in_flight.dec();
    }
}

/// Returns the error for a request that no upstream answered.
fn unanswered(call: &Call, timed_out: bool, refused: Refused) -> RequestError {
    match (call.job.may_have_run, timed_out) {
        (false, _) => RequestError::NotRun(refused.reason, refused.retry_after),
        (true, true) => RequestError::TimedOut,
        (true, false) => RequestError::Lost,
    }
}
