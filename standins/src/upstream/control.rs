//! The HTTP control API of an upstream stand-in.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use http_body_util::BodyExt;
use hyper::{
    Request,
    StatusCode,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::net::TcpListener;

use super::{
    Upstream,
    behaviour::SwitchChange,
    log::{
        Counts,
        Ending,
        Entry, //
    },
};
use crate::{
    error::DropReason,
    http::{
        Answer,
        answer,
        json, //
    },
};

/// The answer of `GET /control/log`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogAnswer {
    /// The counts since the start of the process.
    pub counts: Counts,
    /// The number of times that each request id started to run.
    pub runs: BTreeMap<String, u32>,
    /// The most recent requests, oldest first.
    pub entries: Vec<Entry>,
}

/// The body of `POST /control/release`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// The hold name to release.
    pub name: String,
}

/// The body of `POST /control/wait`, which answers with the counts once all of these minimums are reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WaitFor {
    /// The minimum number of requests started.
    pub started: u64,
    /// The minimum number of requests ended, in any way.
    pub ended: u64,
    /// The minimum number of requests cancelled.
    pub cancelled: u64,
    /// The minimum number of body bytes received.
    pub received: u64,
    /// The minimum number of reads of `/.health` and `/.load`.
    pub reports: u64,
    /// The timeout in milliseconds, after which the call answers 504.
    pub wait_ms: u64,
}

/// Serves the control calls until the returned future is dropped.
pub async fn serve_control(listener: TcpListener, upstream: Arc<Upstream>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let upstream = Arc::clone(&upstream);
        tokio::spawn(async move {
            let service = service_fn(|req| handle(&upstream, req));
            // The client may disconnect during a control call; that needs no handling.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn handle(upstream: &Upstream, req: Request<Incoming>) -> Result<Answer, DropReason> {
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let body = req.into_body().collect().await;
    let body = body.map_err(|_| DropReason::Cut)?.to_bytes();
    let call = (method.as_str(), path.as_str());
    let answer = match call {
        ("GET", "/control/counts") => json(&upstream.counts()),
        ("GET", "/control/log") => json(&upstream.log_answer()),
        ("GET", "/control/switch") => json(&upstream.state().switches),
        ("POST", "/control/switch") => match serde_json::from_slice::<SwitchChange>(&body) {
            Ok(change) => json(&upstream.switch(change)),
            Err(e) => bad_request(&e),
        },
        ("POST", "/control/release") => match serde_json::from_slice::<Release>(&body) {
            Ok(release) => {
                upstream.release(&release.name);
                json(&release)
            }
            Err(e) => bad_request(&e),
        },
        ("PUT", "/control/needles") => match serde_json::from_slice::<Vec<String>>(&body) {
            Ok(needles) => {
                upstream.set_needles(needles);
                json(&upstream.counts())
            }
            Err(e) => bad_request(&e),
        },
        ("POST", "/control/wait") => match serde_json::from_slice::<WaitFor>(&body) {
            Ok(wait) => upstream.wait(&wait).await,
            Err(e) => bad_request(&e),
        },
        _ => answer(StatusCode::NOT_FOUND, "no such control call"),
    };
    Ok(answer)
}

fn bad_request(e: &serde_json::Error) -> Answer {
    answer(StatusCode::BAD_REQUEST, e.to_string())
}

impl Upstream {
    fn log_answer(&self) -> LogAnswer {
        let counts = self.counts();
        let state = self.state();
        LogAnswer {
            counts,
            runs: state.log.runs(),
            entries: state.log.entries(),
        }
    }

    async fn wait(&self, wait: &WaitFor) -> Answer {
        let reached = self.wait_until(|state| {
            let counts = &state.log.counts;
            counts.started >= wait.started
                && counts.ended >= wait.ended
                && counts.ended_as(Ending::Cancelled) >= wait.cancelled
                && counts.received >= wait.received
                && counts.reports >= wait.reports
        });
        let limit = Duration::from_millis(wait.wait_ms);
        match tokio::time::timeout(limit, reached).await {
            Ok(()) => json(&self.counts()),
            Err(_) => answer(StatusCode::GATEWAY_TIMEOUT, "not reached"),
        }
    }
}
