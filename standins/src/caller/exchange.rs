//! One attempt of a request, and its result.

use std::{
    fmt,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use cardamomroad::wire;
use http_body_util::BodyExt;
use hyper::{
    Request,
    Response,
    body::Incoming,
    header::AUTHORIZATION, //
};
use tokio::time::{
    Instant,
    timeout, //
};

use super::{
    Ask,
    Caller,
    ask::UploadBody, //
};
use crate::{
    receipt::{
        Receipt,
        ReceiptError, //
    },
    upstream::HEADER_PREFIX,
};

/// The result of an attempt as the caller classifies it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A complete answer with a matching receipt.
    Whole(Receipt),
    /// A refusal with a reason header.
    Refused,
    /// A complete answer whose receipt or content does not match the request.
    Wrong(ReceiptError),
    /// The body was cut short by an error of the connection.
    Broken,
    /// No answer head arrived; carries the error text.
    Lost(String),
    /// The caller's timeout for one attempt expired.
    TimedOut,
}

/// The result of a request after all its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status; 0 if no answer head arrived.
    pub status: u16,
    /// The value of `x-cardamomroad-outcome`, if present.
    pub outcome: Option<String>,
    /// The value of `x-cardamomroad-reason`, if present.
    pub reason: Option<String>,
    /// The value of `retry-after` in seconds, if present.
    pub retry_after: Option<u64>,
    /// The value of `x-cardamomroad-request-id`, if present.
    pub request_id: Option<String>,
    /// The value of `x-cardamomroad-served-by`, if present.
    pub served_by: Option<String>,
    /// The address to which the last attempt was sent.
    pub address: SocketAddr,
    /// The number of attempts made.
    pub attempts: u32,
    /// The time from the start of the first attempt to the end of the last one.
    pub latency: Duration,
    /// The classification of the last attempt.
    pub verdict: Verdict,
}

impl Reply {
    fn new(address: SocketAddr, verdict: Verdict) -> Self {
        Self {
            status: 0,
            outcome: None,
            reason: None,
            retry_after: None,
            request_id: None,
            served_by: None,
            address,
            attempts: 1,
            latency: Duration::ZERO,
            verdict,
        }
    }

    /// Returns the receipt of a complete and matching answer.
    pub fn receipt(&self) -> Option<&Receipt> {
        match &self.verdict {
            Verdict::Whole(receipt) => Some(receipt),
            _ => None,
        }
    }

    /// Returns whether a retry may succeed: after a refusal with a 5xx status, or
    /// without a complete answer.
    pub fn is_retryable(&self) -> bool {
        match self.verdict {
            Verdict::Whole(_) | Verdict::Wrong(_) => false,
            Verdict::Refused => self.status >= 500,
            Verdict::Broken | Verdict::Lost(_) | Verdict::TimedOut => true,
        }
    }
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |t: &Option<String>| t.clone().unwrap_or_else(|| "-".to_owned());
        write!(
            f,
            "status={} outcome={} reason={} id={} served_by={} tries={} latency_us={}",
            self.status,
            text(&self.outcome),
            text(&self.reason),
            text(&self.request_id),
            text(&self.served_by),
            self.attempts,
            self.latency.as_micros()
        )
    }
}

impl Caller {
    /// Makes one attempt, limited by the caller's timeout.
    pub(super) async fn exchange(&self, address: SocketAddr, ask: &Ask, id: Option<&str>) -> Reply {
        let started = Instant::now();
        let attempt = timeout(self.options.timeout, self.attempt_once(address, ask, id));
        let mut reply = match attempt.await {
            Ok(reply) => reply,
            Err(_) => Reply::new(address, Verdict::TimedOut),
        };
        reply.latency = started.elapsed();
        reply
    }

    async fn attempt_once(&self, address: SocketAddr, ask: &Ask, id: Option<&str>) -> Reply {
        let req = match self.request(address, ask, id) {
            Ok(req) => req,
            Err(e) => return Reply::new(address, Verdict::Lost(e.to_string())),
        };
        let answer = match self.client.request(req).await {
            Ok(answer) => answer,
            Err(e) => return Reply::new(address, Verdict::Lost(format!("{e:?}"))),
        };
        let mut reply = head(address, &answer);
        let Ok(body) = answer.into_body().collect().await else {
            reply.verdict = Verdict::Broken;
            return reply;
        };
        reply.verdict = classify(&reply, &body.to_bytes(), ask);
        reply
    }

    fn request(
        &self,
        address: SocketAddr,
        ask: &Ask,
        id: Option<&str>,
    ) -> Result<Request<UploadBody>, hyper::http::Error> {
        let mut req = Request::builder()
            .method(ask.method.clone())
            .uri(format!("http://{address}{}", ask.path))
            .header(format!("{HEADER_PREFIX}token"), &ask.token);
        if let Some(key) = &self.options.key {
            req = req.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(id) = id {
            req = req.header(wire::REQUEST_ID, id);
        }
        if let Some(deadline) = ask.deadline {
            let ms = u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX);
            req = req.header(wire::DEADLINE_MS, ms);
        }
        for (name, value) in &ask.headers {
            req = req.header(name, value);
        }
        req.body(ask.body())
    }
}

/// Returns a reply with the status and headers of an answer; the verdict is set later.
fn head(address: SocketAddr, answer: &Response<Incoming>) -> Reply {
    let text = |name: &str| {
        let value = answer.headers().get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    Reply {
        status: answer.status().as_u16(),
        outcome: text(wire::OUTCOME),
        reason: text(wire::REASON),
        retry_after: text("retry-after").and_then(|s| s.parse().ok()),
        request_id: text(wire::REQUEST_ID),
        served_by: text(wire::SERVED_BY),
        ..Reply::new(address, Verdict::Refused)
    }
}

/// Classifies a complete answer.
fn classify(reply: &Reply, body: &Bytes, ask: &Ask) -> Verdict {
    if reply.reason.is_some() {
        return Verdict::Refused;
    }
    match Receipt::check(body, &ask.sent()) {
        Ok(receipt) => Verdict::Whole(receipt),
        Err(e) => Verdict::Wrong(e),
    }
}
