//! Sends an admitted request to the targets that the host actor chooses, until one
//! answers or no target is left.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::{
    Request,
    Response,
    body::Incoming, //
};
use smallvec::SmallVec;
use tokio::{
    sync::oneshot,
    time::{
        Instant,
        sleep_until, //
    },
};

use crate::{
    body::{
        ProxyBody, //
        RelayedBody,
    },
    connection::{
        ConnectionLease,
        Exchange,
        SendError, //
    },
    gateway::{
        Gateway,
        call::{
            Call,
            Permit, //
            TryGuard,
        },
        head,
        upload::{
            Transfer,
            Upload, //
        },
    },
    host::message::{
        Choice,
        Choose,
        RequestRetry,
        Target,
        TryEnd, //
    },
    quarantine::Suspect,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
    retry::{
        Failure,
        Retry, //
    },
    trace,
    util::id::OrganisationName,
    wire,
};

/// Attempts of one request up to which one that sent nothing is followed by another without
/// using the retry budget.
const UNSENT_TRIES_MAX: usize = 6;
/// Attempts of one request that may lose their upstream and be followed by another attempt.
/// Limits how many upstreams a request that crashes them can take down.
const LOST_TRIES_MAX: usize = 1;
/// Estimated bytes of a request's head without its headers, charged to a billed link.
const HEAD_BASE_BYTES: usize = 64;
/// The value of the not-started header that a draining upstream sends.
const DRAINING: &[u8] = b"draining";

/// How the receiving entry host handles a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardMode {
    /// The receiver is the request's home host: it admits the request and chooses where to run it.
    Home,
    /// The request is already admitted; the receiver runs it on an upstream of its own zone.
    Run,
}

impl ForwardMode {
    /// Returns the value of the forward header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Run => "run",
        }
    }
}

/// An admitted request with everything needed to send it.
#[derive(Debug)]
pub struct Forwarding {
    /// The request's head, route and deadline.
    pub call: Call,
    /// The request's body.
    pub upload: Upload,
    /// The organisation whose budget the request uses; `None` without an API key.
    pub organisation: Option<OrganisationName>,
    /// The fingerprint of the request's content, to detect requests that crash upstreams.
    pub suspect: Suspect,
    /// Reports the end of the request to the host actor when dropped.
    pub permit: Permit,
    /// The progress of the body, and the billed link that it is charged to.
    pub transfer: Transfer,
}

/// The result of one attempt.
enum TryResult {
    /// An answer to relay to the sender of the request.
    Answer(Box<Exchange>),
    /// No answer, or an answer stating that the request was not started.
    Failed(Failed),
}

/// An attempt that gave no answer to relay, and the refusal to send if it is the last one.
#[derive(Clone, Copy, Debug)]
struct Failed {
    end: TryEnd,
    refusal: Refusal,
    draining: bool,
}

impl Failed {
    const fn new(end: TryEnd, refusal: Refusal) -> Self {
        Self {
            end,
            refusal,
            draining: false,
        }
    }

    const fn may_have_run(&self) -> bool {
        !matches!(self.end, TryEnd::NotStarted | TryEnd::NotSent)
    }
}

impl Gateway {
    /// Sends a request to one target after another until it is answered or refused.
    pub async fn forward(self: &Arc<Self>, mut f: Forwarding) -> Response<ProxyBody> {
        let mut tried: SmallVec<[Target; 2]> = SmallVec::new();
        let mut may_have_run = false;
        let mut lost = 0;
        loop {
            let mut open = match self.choose(&f, &tried).await {
                Ok(open) => open.with_upload(f.transfer.progress.clone()),
                Err(refusal) => return self.refuse(f, refusal, may_have_run),
            };
            let target = open.target().clone();
            let failed = match self.send_once(&mut f, &target, ForwardMode::Run).await {
                TryResult::Answer(exchange) => return self.relay_answer(f, open, *exchange),
                TryResult::Failed(failed) => failed,
            };
            open.ended(failed.end);
            if failed.draining {
                open.mark_draining();
            }
            drop(open);
            may_have_run |= failed.may_have_run();
            if !may_have_run {
                f.permit.mark_not_started();
            }
            tried.push(target);
            lost += usize::from(failed.end == TryEnd::Lost);
            if lost > LOST_TRIES_MAX || !self.may_retry(&f, failed, tried.len()).await {
                return self.refuse(f, failed.refusal, may_have_run);
            }
            self.metrics.retries.inc();
        }
    }

    /// Returns whether a failed request may be sent again, after waiting for the back-off.
    async fn may_retry(&self, f: &Forwarding, failed: Failed, tries: usize) -> bool {
        if !f.upload.can_be_sent() {
            return false;
        }
        // Nothing was sent, so that the target had no work; the next target may answer.
        if failed.end == TryEnd::NotSent && tries < UNSENT_TRIES_MAX {
            return f.call.deadline > Instant::now();
        }
        let failure = Failure {
            idempotent: f.call.route.idempotent,
            not_started: !failed.may_have_run(),
            tries: u32::try_from(tries).unwrap_or(u32::MAX),
            deadline: f.call.deadline,
        };
        match self.host.send(RequestRetry(failure)).await {
            Ok(Retry::After(pause)) => {
                tokio::time::sleep(pause).await;
                true
            }
            Ok(Retry::No(_)) | Err(_) => false,
        }
    }

    /// Forwards a request to its home host, the only host that may admit it.
    pub async fn forward_to_home(
        self: &Arc<Self>,
        mut f: Forwarding,
        home: Target,
    ) -> Response<ProxyBody> {
        let service = f.call.route.service.clone();
        let mut open = TryGuard::new(None, service, home.clone(), None, f.suspect);
        let failed = match self.send_once(&mut f, &home, ForwardMode::Home).await {
            TryResult::Answer(exchange) => return self.relay_answer(f, open, *exchange),
            TryResult::Failed(failed) => failed,
        };
        open.ended(failed.end);
        // Even if nothing was sent this time, an earlier copy may have reached the home host.
        let may_have_run = failed.end != TryEnd::NotStarted;
        self.refuse(f, failed.refusal, may_have_run)
    }

    async fn choose(
        &self,
        f: &Forwarding,
        tried: &SmallVec<[Target; 2]>,
    ) -> Result<TryGuard, Refusal> {
        let mut first_asked_at = None;
        loop {
            let msg = Choose {
                service: f.call.route.service.clone(),
                organisation: f.organisation.clone(),
                id: f.call.id.clone(),
                deadline: f.call.deadline,
                local_only: f.call.is_local_only(),
                tried: tried.clone(),
                suspect: f.suspect,
                route: f.call.route.name.clone(),
                length: f.upload.length(),
                first_asked_at,
            };
            first_asked_at = first_asked_at.or(Some(Instant::now()));
            let choice = match self.host.send(msg).await {
                Ok(Choice::Queued(rx)) => self.wait_in_queue(rx).await,
                choice => choice.ok(),
            };
            match choice {
                Some(Choice::Send(open)) => return Ok(*open),
                Some(Choice::Refused(refusal)) => return Err(refusal),
                Some(Choice::Wait(until)) if until >= f.call.deadline => {
                    return Err(Refusal::not_run(Reason::Deadline));
                }
                Some(Choice::Wait(until)) => sleep_until(until).await,
                Some(Choice::Queued(_)) | None => return Err(Refusal::not_run(Reason::Stopping)),
            }
        }
    }

    /// Waits until a queued request gets a slot on an upstream; `None` if the host actor stops.
    async fn wait_in_queue(&self, rx: oneshot::Receiver<Choice>) -> Option<Choice> {
        rx.await.ok()
    }

    async fn send_once(
        self: &Arc<Self>,
        f: &mut Forwarding,
        target: &Target,
        mode: ForwardMode,
    ) -> TryResult {
        let cutoff = f.call.key.map(|key| self.keys.cutoff(key));
        let body = f.upload.body_for_try(&f.transfer, cutoff);
        let mut req = head::outgoing(&f.call.parts, body);
        let time_left = f.call.time_left(Instant::now());
        head::set_upstream_headers(
            req.headers_mut(),
            &f.call.id,
            f.organisation.as_ref(),
            time_left,
        );
        let name = match target {
            Target::Upstream(_) => "upstream",
            Target::Gateway { .. } => "gateway",
        };
        let span = self
            .tracing
            .start_client_span(name, &f.call.span, req.headers_mut());
        let address = self.address(&mut req, f, target, mode).await;
        trace::annotate(&span, "server.address", address.to_string());
        f.permit.mark_sent();
        let send = self.connections.send(address, req);
        let result = tokio::select! {
            biased;
            result = send => result,
            () = self.deadline_passed(f) => {
                trace::mark_failed(&span, "deadline");
                return failed(TryEnd::TimedOut, Refusal::unknown(Reason::Deadline));
            }
            () = self.key_withdrawn(f) => {
                trace::mark_failed(&span, "key withdrawn");
                return failed(TryEnd::Abandoned, Refusal::unknown(Reason::KeyUnknown));
            }
        };
        match result {
            Ok(exchange) => self.classify_answer(exchange, target),
            Err(SendError::NotSent { req, .. }) => {
                trace::mark_failed(&span, "not sent");
                if let Some(req) = req {
                    f.upload.restore(req.into_body());
                }
                failed(TryEnd::NotSent, Refusal::not_run(Reason::Unreachable))
            }
            Err(SendError::Lost { cause, .. }) => {
                trace::mark_failed(&span, "lost");
                log::debug!(event = "try-lost", id:% = f.call.id, address:%, cause:%; "");
                failed(TryEnd::Lost, Refusal::unknown(Reason::UpstreamLost))
            }
        }
    }

    /// Prepares the request for its target and returns the address to send it to.
    ///
    /// Waits for capacity if the request goes over a billed link.
    async fn address(
        &self,
        req: &mut Request<ProxyBody>,
        f: &Forwarding,
        target: &Target,
        mode: ForwardMode,
    ) -> std::net::SocketAddr {
        match target {
            Target::Upstream(address) => {
                f.transfer.link.store(None);
                *address
            }
            Target::Gateway {
                peers, link_region, ..
            } => {
                self.set_fleet_headers(req.headers_mut(), mode, f);
                f.transfer.link.store(link_region.clone().map(Arc::new));
                if let Some(region) = link_region {
                    let bytes = head_bytes(req.headers());
                    super::upload::charge_link(self.host.clone(), region.clone(), bytes).await;
                }
                *peers
            }
        }
    }

    /// Classifies an answer as one to relay, or as one stating that the request was not started.
    fn classify_answer(&self, exchange: Exchange, target: &Target) -> TryResult {
        let headers = exchange.res.headers();
        match target {
            Target::Upstream(_) => match headers.get(wire::NOT_STARTED) {
                Some(why) => TryResult::Failed(Failed {
                    draining: why.as_bytes() == DRAINING,
                    ..Failed::new(TryEnd::NotStarted, Refusal::not_run(Reason::Overload))
                }),
                None => TryResult::Answer(Box::new(exchange)),
            },
            Target::Gateway { .. } => match not_started(headers) {
                Some(refusal) => failed(TryEnd::NotStarted, refusal),
                None => TryResult::Answer(Box::new(exchange)),
            },
        }
    }

    /// Resolves when the wait for the answer's head times out.
    ///
    /// Progress of a streamed body extends the wait, so that long uploads are not interrupted.
    async fn deadline_passed(&self, f: &Forwarding) {
        let time_limit = f.call.route.deadline;
        loop {
            let limit = match f.upload {
                Upload::Buffered(_) => f.call.deadline,
                _ => f
                    .call
                    .deadline
                    .max(f.transfer.progress.last_activity() + time_limit),
            };
            if limit <= Instant::now() {
                return;
            }
            sleep_until(limit).await;
        }
    }

    async fn key_withdrawn(&self, f: &Forwarding) {
        match f.call.key {
            Some(key) => {
                self.keys.cutoff(key).await;
            }
            None => std::future::pending().await,
        }
    }

    /// Relays an answer to the caller or to the entry host that forwarded the request.
    fn relay_answer(
        self: &Arc<Self>,
        mut f: Forwarding,
        open: TryGuard,
        exchange: Exchange,
    ) -> Response<ProxyBody> {
        let Exchange { res, lease } = exchange;
        let (mut parts, body) = res.into_parts();
        let outcome = match open.target() {
            Target::Upstream(_) => Outcome::Ran,
            Target::Gateway { .. } => outcome_of(&parts.headers),
        };
        let reason = match open.target() {
            // Only entry hosts are trusted to set the reason header.
            Target::Upstream(_) => None,
            Target::Gateway { .. } => head::text(&parts.headers, wire::REASON)
                .and_then(|t| Reason::from_bytes(t.as_bytes())),
        };
        head::remove_hop_by_hop(&mut parts.headers);
        head::remove_internal_headers(&mut parts.headers);
        head::set_answer_headers(&mut parts.headers, &f.call.id, &self.name, outcome);
        if let Some(reason) = reason {
            head::set(&mut parts.headers, wire::REASON, reason);
        }
        f.permit.ended(outcome, parts.status.as_u16());
        self.record_answer(&f.call, outcome, parts.status);
        trace::annotate(
            &f.call.span,
            "http.response.status_code",
            i64::from(parts.status.as_u16()),
        );
        Response::from_parts(parts, self.answer_body(f, open, body, lease))
    }

    fn answer_body(
        self: &Arc<Self>,
        f: Forwarding,
        mut open: TryGuard,
        body: Incoming,
        lease: ConnectionLease,
    ) -> ProxyBody {
        let cutoff = f.call.key.map(|key| self.keys.cutoff(key));
        let pacer = self.answer_pacer(&f.call);
        let progress = open.answer();
        let at_end = move |whole: bool| {
            open.ended(match whole {
                true => TryEnd::Whole,
                false => TryEnd::Broken,
            });
            if whole {
                lease.give_back();
            }
            drop(open);
            // Ends the request's permit and span along with its answer.
            drop(f);
        };
        RelayedBody::new(body)
            .with_pacer(pacer)
            .with_cutoff(cutoff)
            .with_progress(progress)
            .with_at_end(Box::new(at_end))
            .boxed_unsync()
    }

    fn refuse(
        &self,
        mut f: Forwarding,
        mut refusal: Refusal,
        may_have_run: bool,
    ) -> Response<ProxyBody> {
        if may_have_run {
            refusal.outcome = Outcome::Unknown;
        }
        f.permit
            .ended(refusal.outcome, refusal.reason.status().as_u16());
        self.refusal(&f.call, &refusal)
    }
}

fn failed(end: TryEnd, refusal: Refusal) -> TryResult {
    TryResult::Failed(Failed::new(end, refusal))
}

/// Estimates the bytes of a request's head, to charge them to a billed link.
fn head_bytes(headers: &hyper::HeaderMap) -> usize {
    let fields = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    fields.sum::<usize>() + HEAD_BASE_BYTES
}

/// Returns the outcome that an entry host reported, or `Unknown` without a valid outcome header.
fn outcome_of(headers: &hyper::HeaderMap) -> Outcome {
    let text = head::text(headers, wire::OUTCOME);
    text.and_then(|t| Outcome::from_bytes(t.as_bytes()))
        .unwrap_or(Outcome::Unknown)
}

/// Returns the refusal of an entry host that did not run a request, if another target may
/// still run it.
fn not_started(headers: &hyper::HeaderMap) -> Option<Refusal> {
    if outcome_of(headers) != Outcome::NotRun {
        return None;
    }
    let reason = Reason::from_bytes(head::text(headers, wire::REASON)?.as_bytes())?;
    match reason {
        Reason::Overload
        | Reason::Stopping
        | Reason::NotReady
        | Reason::Unreachable
        | Reason::Link => Some(Refusal::not_run(reason)),
        _ => None,
    }
}
