//! Host look-up, served and forwarded requests, explanations and refusals.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::time::sleep;

use super::{
    Demo,
    LARGE_ORGANISATION,
    REMOTE_SERVICE,
    REMOTE_ZONE,
    ensure,
    heading,
    load,
    print_line, //
};
use crate::{
    caller::{
        Ask,
        Verdict, //
    },
    error::StandinError,
};

/// The trace id of the forwarded request, by which its hops are found in the logs.
const TRACE_ID: &str = "c0ffee00c0ffee00c0ffee00c0ffee00";
/// The organisation that exceeds its rate limit.
const LIMITED_ORGANISATION: &str = "lao-cai-stations";
/// The number of concurrent requests, more than its rate and burst allow.
const EXCESS_REQUESTS: u32 = 60;
/// The maximum number of retries while the upstreams have no free slot.
const OVERLOAD_TRIES: u32 = 20;
/// The pause before each of these retries.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(250);
/// The entry host that forwards the request to another region.
const FORWARDING_HOST: &str = "bac-a-1";

impl Demo {
    pub(super) async fn show_lookup(&self) -> Result<(), StandinError> {
        heading("look-up: which entry hosts to use for dispatch");
        let caller = self.caller(LARGE_ORGANISATION, "dispatch");
        let answer = caller.lookup().await?;
        print_line(format!(
            "generation={} ttl_ms={}",
            answer.generation, answer.ttl_ms
        ));
        for host in &answer.hosts {
            print_line(format!(
                "{} zone={} address={} weight={}",
                host.host, host.zone, host.address, host.weight
            ));
        }
        ensure(!answer.hosts.is_empty(), "a host in the look-up", "none")
    }

    /// Sends a request and checks the head that the upstream received; returns the
    /// request id.
    pub(super) async fn show_served(&self) -> Result<String, StandinError> {
        heading("a request is served, with the key checked and stripped");
        let caller = self.caller(LARGE_ORGANISATION, "dispatch");
        let reply = caller.send(&Ask::get("/histories/clock-7")).await?;
        print_line(&reply);
        let receipt = reply.receipt();
        ensure(receipt.is_some(), "a whole answer", &reply)?;
        for upstream in self.fleet.upstreams() {
            for entry in upstream.log().await?.entries {
                if entry.path != "/histories/clock-7" {
                    continue;
                }
                print_line(format!(
                    "{} saw organisation={} id={}",
                    upstream.name(),
                    entry.organisation,
                    entry.id
                ));
                let has_key = entry.head.contains("demo-key-");
                ensure(!has_key, "a head without the key", &entry.head)?;
                ensure(
                    entry.organisation == LARGE_ORGANISATION,
                    LARGE_ORGANISATION,
                    &entry.organisation,
                )?;
            }
        }
        let id = reply.request_id.unwrap_or_default();
        ensure(!id.is_empty(), "a request id in the answer", "none")?;
        Ok(id)
    }

    pub(super) async fn show_explanation(&self, id: &str) -> Result<(), StandinError> {
        heading("cardamomroad explain tells where the request went, and why");
        let host = id.split('/').next().unwrap_or_default();
        let operators = self.fleet.host(host)?.operators().to_string();
        let args = ["explain", "--host", &operators, "--request", id];
        let text = self.fleet.run_cli_checked(&args).await?;
        for line in text.lines() {
            print_line(line);
        }
        ensure(!text.trim().is_empty(), "an explanation", "nothing")
    }

    pub(super) async fn show_forwarded(&self) -> Result<(), StandinError> {
        heading("a request is forwarded to another region, one span a hop");
        let caller = self.caller("hue-fitters", REMOTE_SERVICE);
        let sender = self.fleet.host(FORWARDING_HOST)?;
        self.fleet.wait_for_budget("hue-fitters", 1).await?;
        let traceparent = format!("00-{TRACE_ID}-00f067aa0ba902b7-01");
        let ask = Ask::get("/inspections/7").with_header("traceparent", traceparent);
        let mut reply = caller.send_to(sender.callers(), &ask, None).await;
        for _ in 0..OVERLOAD_TRIES {
            print_line(&reply);
            if reply.reason.as_deref() != Some("overload") {
                break;
            }
            sleep(OVERLOAD_PAUSE).await;
            reply = caller.send_to(sender.callers(), &ask, None).await;
        }
        ensure(reply.receipt().is_some(), "a whole answer", &reply)?;
        let mut hops = 0;
        for host in self.fleet.hosts() {
            let log = std::fs::read_to_string(host.log()).unwrap_or_default();
            for line in log.lines().filter(|l| l.contains(TRACE_ID)) {
                hops += 1;
                print_line(format!("{}: {}", host.name(), line.trim()));
            }
        }
        for upstream in self.fleet.upstreams() {
            for entry in upstream.log().await?.entries {
                let spans = entry.head.lines();
                for line in spans.filter(|l| l.contains(TRACE_ID)) {
                    ensure(
                        upstream.zone().as_str() == REMOTE_ZONE,
                        "an upstream in the other region",
                        upstream.zone(),
                    )?;
                    hops += 1;
                    print_line(format!("{}: {line}", upstream.name()));
                }
            }
        }
        ensure(hops >= 3, "two hosts and an upstream in the trace", hops)
    }

    pub(super) async fn show_refusal(&self) -> Result<(), StandinError> {
        heading("a request without a valid key is refused, with the reason");
        let options = self.fleet.caller("stranger", "dispatch");
        let stranger = crate::caller::Caller::new(options.with_key("not-a-key"));
        let reply = stranger.send(&Ask::get("/histories/1")).await?;
        print_line(&reply);
        let refused = reply.reason.as_deref() == Some("key-unknown");
        ensure(refused, "reason key-unknown", &reply)?;
        let not_run = reply.outcome.as_deref() == Some("not-run");
        ensure(not_run, "outcome not-run", &reply)
    }

    pub(super) async fn show_rate(&self) -> Result<(), StandinError> {
        heading("an organisation over its rate is told when to come back");
        let caller = Arc::new(self.caller(LIMITED_ORGANISATION, "dispatch"));
        let replies = load(&caller, &Ask::get("/parts/1"), EXCESS_REQUESTS, 1).await?;
        let is_rate_refusal = |r: &&crate::caller::Reply| r.reason.as_deref() == Some("rate");
        let refused = replies.iter().filter(is_rate_refusal);
        let served = replies
            .iter()
            .filter(|r| matches!(r.verdict, Verdict::Whole(_)))
            .count();
        print_line(format!(
            "{EXCESS_REQUESTS} requests at once: {served} served, {} refused for rate",
            refused.clone().count()
        ));
        let first = refused.clone().next();
        ensure(first.is_some(), "a refusal for rate", caller.tally())?;
        let after = first.and_then(|r| r.retry_after);
        print_line(format!("retry-after: {after:?} seconds"));
        ensure(after.is_some(), "retry-after", caller.tally())
    }
}
