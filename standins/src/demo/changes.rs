//! Changes that operators make under traffic: a key withdrawal and a drain.

use std::time::Duration;

use cardamomroad::util::id::Generation;
use tokio::time::{
    Instant,
    sleep, //
};

use super::{
    Demo,
    LARGE_ORGANISATION,
    ensure,
    heading,
    print_line, //
};
use crate::{
    caller::Ask,
    error::StandinError, //
};

/// The organisation whose key is withdrawn.
const WITHDRAWN_ORGANISATION: &str = "danang-stations";
/// The name of the key that is withdrawn.
const WITHDRAWN_KEY: &str = "danang-stations-1";
/// The time within which every host must refuse the withdrawn key.
const WITHDRAWAL_MAX: Duration = Duration::from_secs(10);
/// The time within which the drained pool must stop receiving requests.
const DRAIN_MAX: Duration = Duration::from_secs(15);
/// The pool that is drained.
const DRAINED_POOL: &str = "dispatch-bac-b";
/// The entry host that receives the requests, in the zone of the drained pool.
const DRAINED_HOST: &str = "bac-b-2";
/// The consecutive requests that must all be served without the drained pool.
const CONSECUTIVE_REQUESTS: u32 = 40;
/// The pause between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Demo {
    pub(super) async fn show_key_withdrawal(&self) -> Result<(), StandinError> {
        heading("a withdrawn key stops working at every host");
        let caller = self.caller(WITHDRAWN_ORGANISATION, "dispatch");
        self.fleet
            .wait_for_budget(WITHDRAWN_ORGANISATION, 1)
            .await?;
        let ask = Ask::get("/parts/2");
        let before = caller.send(&ask).await?;
        ensure(before.receipt().is_some(), "a served request", &before)?;
        let args = ["key", "withdraw", "--name", WITHDRAWN_KEY];
        let output = self.fleet.run_cli_checked(&args).await?;
        print_line(output.trim());
        let withdrawn = Instant::now();
        for host in self.fleet.hosts() {
            loop {
                let reply = caller.send_to(host.callers(), &ask, None).await;
                if reply.reason.as_deref() == Some("key-unknown") {
                    break;
                }
                let timed_out = withdrawn.elapsed() > WITHDRAWAL_MAX;
                ensure(!timed_out, "the key refused in time", &reply)?;
                sleep(POLL_INTERVAL).await;
            }
            print_line(format!(
                "{} refuses it {} ms after the withdrawal",
                host.name(),
                withdrawn.elapsed().as_millis()
            ));
        }
        Ok(())
    }

    pub(super) async fn show_drain(&self) -> Result<(), StandinError> {
        heading("a drained pool gets no new work");
        let address = self.fleet.host(DRAINED_HOST)?.callers();
        let caller = self.caller(LARGE_ORGANISATION, "dispatch");
        let args = ["drain", "add", "demo", "--pool", DRAINED_POOL];
        let args = [&args[..], &["--within", "30s"]].concat();
        let output = self.fleet.run_cli_checked(&args).await?;
        print_line(output.trim());
        let applied = Instant::now();
        self.fleet.wait_for_generation(Generation(2)).await?;
        print_line(format!(
            "in force at every host {} ms after the call",
            applied.elapsed().as_millis()
        ));
        loop {
            let before = self.started_requests(DRAINED_POOL).await?;
            let mut served = 0;
            for _ in 0..CONSECUTIVE_REQUESTS {
                let reply = caller.send_to(address, &Ask::get("/parts/3"), None).await;
                served += u32::from(reply.receipt().is_some());
            }
            let after = self.started_requests(DRAINED_POOL).await?;
            let text = format!(
                "{served} of {CONSECUTIVE_REQUESTS} requests to {DRAINED_HOST} were served, {} by {DRAINED_POOL}",
                after - before
            );
            print_line(&text);
            if after == before && served == CONSECUTIVE_REQUESTS {
                return Ok(());
            }
            let timed_out = applied.elapsed() > DRAIN_MAX;
            ensure(!timed_out, "the pool passed by in time", &text)?;
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the total number of requests that the upstreams of a pool started.
    async fn started_requests(&self, pool: &str) -> Result<u64, StandinError> {
        let mut started = 0;
        for upstream in self.fleet.upstreams() {
            if !upstream.name().starts_with(pool) {
                continue;
            }
            started += upstream.counts().await?.started;
        }
        Ok(started)
    }
}
