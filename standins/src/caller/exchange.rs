//! One try of a request and what came of it.

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

/// What a caller makes of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer to the request.
    Whole(Receipt),
    /// A refusal with a typed reason.
    Refused,
    /// A complete answer that is not the answer to the request.
    Wrong(ReceiptError),
    /// The body broke off, and the connection said so.
    Broken,
    /// No answer began.
    Lost(String),
    /// The caller's own timeout passed.
    TimedOut,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status, or 0 where no answer began.
    pub status: u16,
    /// `x-cardamomroad-outcome`.
    pub outcome: Option<String>,
    /// `x-cardamomroad-reason`.
    pub reason: Option<String>,
    /// `retry-after`, in seconds.
    pub retry_after: Option<u64>,
    /// `x-cardamomroad-request-id`.
    pub request_id: Option<String>,
    /// `x-cardamomroad-served-by`.
    pub served_by: Option<String>,
    /// The address of the last try.
    pub via: SocketAddr,
    /// The tries that it took.
    pub tries: u32,
    /// From the first try to the end of the last one.
    pub latency: Duration,
    /// What the caller made of the answer.
    pub verdict: Verdict,
}

impl Reply {
    fn new(via: SocketAddr, verdict: Verdict) -> Self {
        Self {
            status: 0,
            outcome: None,
            reason: None,
            retry_after: None,
            request_id: None,
            served_by: None,
            via,
            tries: 1,
            latency: Duration::ZERO,
            verdict,
        }
    }

    /// Returns the receipt of a whole answer.
    pub fn receipt(&self) -> Option<&Receipt> {
        match &self.verdict {
            Verdict::Whole(receipt) => Some(receipt),
            _ => None,
        }
    }

    /// Returns whether a caller would send the request again.
    pub fn calls_for_repeat(&self) -> bool {
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
            self.tries,
            self.latency.as_micros()
        )
    }
}

impl Caller {
    /// Sends one try.
    pub(super) async fn exchange(&self, address: SocketAddr, ask: &Ask, id: Option<&str>) -> Reply {
        let started = Instant::now();
        let tried = timeout(self.options.timeout, self.try_once(address, ask, id));
        let mut reply = match tried.await {
            Ok(reply) => reply,
            Err(_) => Reply::new(address, Verdict::TimedOut),
        };
        reply.latency = started.elapsed();
        reply
    }

    async fn try_once(&self, address: SocketAddr, ask: &Ask, id: Option<&str>) -> Reply {
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
        reply.verdict = judge(&reply, &body.to_bytes(), ask);
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

/// Reads the head of an answer.
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

fn judge(reply: &Reply, body: &Bytes, ask: &Ask) -> Verdict {
    if reply.reason.is_some() {
        return Verdict::Refused;
    }
    match Receipt::check(body, &ask.sent()) {
        Ok(receipt) => Verdict::Whole(receipt),
        Err(e) => Verdict::Wrong(e),
    }
}
