//! Graceful stop and kill of entry hosts under load.

use std::{
    sync::Arc,
    time::Duration, //
};

use super::{
    Demo,
    LARGE_ORGANISATION,
    REMOTE_SERVICE,
    ensure,
    heading,
    load,
    print_line, //
};
use crate::{
    caller::{
        Ask,
        Upload, //
    },
    error::StandinError,
    upstream::WaitFor,
};

/// The entry host that is stopped with SIGTERM.
const STOPPED_HOST: &str = "bac-a-2";
/// The entry host that is killed with SIGKILL.
const KILLED_HOST: &str = "bac-a-1";
/// The number of concurrent senders of the load.
const SENDERS: u32 = 8;
/// The number of requests from each sender.
const REQUESTS_PER_SENDER: u32 = 60;
/// The processing time of each request at the upstream, in milliseconds.
const WORK_MS: u64 = 10;
/// The size of the upload that runs while the host stops. At this chunk size and
/// pause it takes about a second.
const UPLOAD_BYTES: u64 = 1_000_000;
const UPLOAD_CHUNK: u64 = 10_000;
const UPLOAD_PAUSE: Duration = Duration::from_millis(10);

impl Demo {
    pub(super) async fn show_graceful_stop(&mut self) -> Result<(), StandinError> {
        heading("SIGTERM stops a host under load and cuts no request");
        let address = self.fleet.host(STOPPED_HOST)?.callers();
        self.fleet.wait_for_budget("hue-fitters", 1).await?;
        let fitter = self.caller("hue-fitters", REMOTE_SERVICE);
        let upload = Upload::new(UPLOAD_BYTES).with_pace(UPLOAD_CHUNK, UPLOAD_PAUSE);
        let ask = Ask::new(hyper::Method::PUT, "/videos/7", true).with_upload(upload);
        let uploading = tokio::spawn(async move { fitter.send_to(address, &ask, None).await });
        self.wait_for_upload().await?;
        let caller = Arc::new(self.caller(LARGE_ORGANISATION, "dispatch"));
        let ask = Ask::get("/histories/9").with_header("x-standin-delay-ms", WORK_MS);
        let sender = Arc::clone(&caller);
        let loading =
            tokio::spawn(async move { load(&sender, &ask, SENDERS, REQUESTS_PER_SENDER).await });
        let host = self.fleet.host_mut(STOPPED_HOST)?;
        print_line(format!("SIGTERM to {STOPPED_HOST}, with an upload running"));
        let status = host.stop().await?;
        let uploaded = uploading.await.map_err(|e| join_error(&e))?;
        print_line(format!("upload: {uploaded}"));
        loading.await.map_err(|e| join_error(&e))??;
        print_line(format!("load: {}", caller.tally()));
        print_line(format!("{STOPPED_HOST} ended with {status}"));
        ensure(uploaded.receipt().is_some(), "the whole upload", &uploaded)?;
        let whole = caller.tally().with_verdict("whole");
        let sent = u64::from(SENDERS * REQUESTS_PER_SENDER);
        ensure(whole == sent, "every request served", caller.tally())?;
        ensure(status.success(), "exit code 0", status)?;
        self.fleet.publish_hosts().await
    }

    async fn wait_for_upload(&self) -> Result<(), StandinError> {
        let providers = self.fleet.upstreams().iter();
        for upstream in providers.filter(|u| u.service().as_str() == REMOTE_SERVICE) {
            let received = upstream.counts().await?.received + UPLOAD_CHUNK;
            let wait = WaitFor {
                received,
                ..WaitFor::default()
            };
            upstream.wait(wait).await?;
        }
        Ok(())
    }

    pub(super) async fn show_kill(&mut self) -> Result<(), StandinError> {
        heading("SIGKILL of a host loses no idempotent request");
        let caller = Arc::new(self.caller(LARGE_ORGANISATION, "dispatch"));
        for host in &caller.lookup().await?.hosts {
            print_line(format!("look-up: {} weight={}", host.host, host.weight));
        }
        let ask = Ask::get("/histories/10").with_header("x-standin-delay-ms", WORK_MS);
        let sender = Arc::clone(&caller);
        let loading =
            tokio::spawn(async move { load(&sender, &ask, SENDERS, REQUESTS_PER_SENDER).await });
        while caller.tally().total() < u64::from(SENDERS * REQUESTS_PER_SENDER) / 4 {
            tokio::task::yield_now().await;
        }
        print_line(format!("SIGKILL to {KILLED_HOST}"));
        self.fleet.host_mut(KILLED_HOST)?.kill().await?;
        loading.await.map_err(|e| join_error(&e))??;
        let tally = caller.tally();
        print_line(format!("load: {tally}"));
        let sent = u64::from(SENDERS * REQUESTS_PER_SENDER);
        let whole = tally.with_verdict("whole");
        ensure(whole == sent, "every request served", &tally)
    }
}

fn join_error(e: &tokio::task::JoinError) -> StandinError {
    StandinError::Call {
        target: "a sender".to_owned(),
        cause: e.to_string(),
    }
}
