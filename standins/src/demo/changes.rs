//! Changes that operators make under traffic: a key withdrawal and a drain.

use std::time::Duration;

use cardamomroad::util::id::Generation;
use tokio::time::{
    Instant,
    sleep, //
};

use super::{
    Demo,
    LARGE,
    expect,
    heading,
    say, //
};
use crate::{
    caller::Ask,
    error::StandinError, //
};

/// The organisation whose key is withdrawn.
const WITHDRAWN: &str = "danang-stations";
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
const PASSED_BY: u32 = 40;
/// The pause between two checks.
const STEP: Duration = Duration::from_millis(50);

impl Demo {
    pub(super) async fn show_key_withdrawal(&self) -> Result<(), StandinError> {
        heading("a withdrawn key stops working at every host");
        let caller = self.caller(WITHDRAWN, "dispatch");
        self.fleet.wait_for_budget(WITHDRAWN, 1).await?;
        let ask = Ask::get("/parts/2");
        let before = caller.send(&ask).await?;
        expect(before.receipt().is_some(), "a served request", &before)?;
        let args = ["key", "withdraw", "--name", WITHDRAWN_KEY];
        let said = self.fleet.operate_well(&args).await?;
        say(said.trim());
        let withdrawn = Instant::now();
        for host in self.fleet.hosts() {
            loop {
                let reply = caller.send_to(host.callers(), &ask, None).await;
                if reply.reason.as_deref() == Some("key-unknown") {
                    break;
                }
                let late = withdrawn.elapsed() > WITHDRAWAL_MAX;
                expect(!late, "the key refused in time", &reply)?;
                sleep(STEP).await;
            }
            say(format!(
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
        let caller = self.caller(LARGE, "dispatch");
        let args = ["drain", "add", "demo", "--pool", DRAINED_POOL];
        let args = [&args[..], &["--within", "30s"]].concat();
        let said = self.fleet.operate_well(&args).await?;
        say(said.trim());
        let applied = Instant::now();
        self.fleet.wait_for_generation(Generation(2)).await?;
        say(format!(
            "in force at every host {} ms after the call",
            applied.elapsed().as_millis()
        ));
        loop {
            let before = self.started_in(DRAINED_POOL).await?;
            let mut served = 0;
            for _ in 0..PASSED_BY {
                let reply = caller.send_to(address, &Ask::get("/parts/3"), None).await;
                served += u32::from(reply.receipt().is_some());
            }
            let after = self.started_in(DRAINED_POOL).await?;
            let text = format!(
                "{served} of {PASSED_BY} requests to {DRAINED_HOST} were served, {} by {DRAINED_POOL}",
                after - before
            );
            say(&text);
            if after == before && served == PASSED_BY {
                return Ok(());
            }
            let late = applied.elapsed() > DRAIN_MAX;
            expect(!late, "the pool passed by in time", &text)?;
            sleep(STEP).await;
        }
    }

    /// Returns the total number of requests that the upstreams of a pool started.
    async fn started_in(&self, pool: &str) -> Result<u64, StandinError> {
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
