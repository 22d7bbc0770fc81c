//! A process of a host or of an upstream ends, and the next one has the same name. Messages of, to
//! and about the ended process arrive at the next one, or after its first message. Or a message
//! arrives twice.

#[path = "support/simulated_fleet.rs"]
mod simulated_fleet;

use std::{
    sync::Arc,
    time::Duration, //
};

use cardamomroad::{
    edge::{
        datagram::{
            Claim,
            ClaimOutcome,
            ClaimReply,
            Datagram,
            Finished,
            Holding,
            Loan,
            RunId,
            Sender, //
        },
        message::{
            PlacementDecision,
            RefusalReason, //
        },
        model::{
            ConfigVersion,
            Organisation,
            Priority,
            Rate,
            Regions, //
        },
        peers::Domain,
        topic::{
            Record,
            Topic, //
        },
        upstreams::{
            TryEnd,
            UpstreamKey,
            key_of, //
        },
    },
    util::id::{
        Incarnation,
        OrganisationName, //
    },
};
use simulated_fleet::{
    Host,
    Plan,
    TestFleet,
    configuration,
    service,
    upstream, //
};
use smallvec::SmallVec;
use tokio::time::{
    Instant,
    timeout, //
};

/// Incarnation of all processes of the fleet.
const PROCESS: Incarnation = Incarnation(1);
const LATER_PROCESS: Incarnation = Incarnation(2);
/// Longer than a claim without a reply waits, and shorter than the wait for a slot.
const SHORT: Duration = Duration::from_millis(200);

/// Starts a scheduler and another host, with one upstream of one slot, and cuts them off.
async fn start_partitioned() -> (TestFleet, Host, Host) {
    let fleet = TestFleet::start(Plan {
        zones: vec![("bac-a", "bac", 2, 1)],
        slots: 1,
        cache_capacity: 4,
        uncached: Duration::from_millis(400),
        cached: Duration::from_millis(100),
        latency_target: Duration::from_millis(1200),
        answer_bytes: 2000,
    })
    .await;
    let [scheduler, host] = &fleet.hosts[..] else {
        panic!("there are two hosts");
    };
    let (scheduler, host) = (scheduler.clone(), host.clone());
    scheduler.set_partitioned(true);
    (fleet, scheduler, host)
}

fn sender(host: &Host, incarnation: Incarnation) -> Sender {
    Sender {
        host: host.settings.host.clone(),
        incarnation,
        sequence: 1_000_000,
    }
}

fn own_upstream() -> UpstreamKey {
    key_of(&upstream("bac-a", 0, 0, 1).id)
}

fn reply(scheduler: &Host, answers: Incarnation, outcome: ClaimOutcome) -> Datagram {
    Datagram::ClaimReply(ClaimReply {
        from: sender(scheduler, PROCESS),
        run: RunId(1),
        outcome,
        answers,
    })
}

fn claim(host: &Host, incarnation: Incarnation, run: u32) -> Datagram {
    Datagram::Claim(Claim {
        from: sender(host, incarnation),
        run: RunId(run),
        domain: Domain::Region("bac".parse().expect("region")),
        id: format!("c{run}"),
        service: service(),
        priority: Priority(1),
        route: 1,
        object: 1,
        has_object: true,
        bytes: 0,
        waited_ms: 0,
        lost_ms: 0,
        aim_ms: 5000,
        left_ms: 5000,
        tried: SmallVec::new(),
        route_priority: Priority(1),
    })
}

/// Delivers a claim to the scheduler and returns its reply.
async fn outcome_of(scheduler: &Host, host: &Host, msg: Datagram) -> ClaimOutcome {
    host.take_undelivered();
    scheduler.receive(msg).await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    let replies = host.take_undelivered().into_iter();
    let mut replies = replies.filter_map(|msg| match msg {
        Datagram::ClaimReply(reply) => Some(reply.outcome),
        _ => None,
    });
    replies.next().expect("the scheduler replies")
}

fn is_granted(outcome: ClaimOutcome) -> bool {
    matches!(outcome, ClaimOutcome::Granted { .. })
}

/// Guards against requests that run at another service's upstream: the number of the claim that the
/// slot was granted for belongs to another request of the next process.
#[tokio::test(start_paused = true)]
async fn a_slot_granted_to_an_ended_process_is_not_used_by_the_next() {
    for answers in [Incarnation(9), PROCESS] {
        let (fleet, scheduler, host) = start_partitioned().await;
        let mut other = upstream("bac-a", 0, 7, 1);
        other.service = "workbench".parse().expect("service");
        let (id, key) = (other.id.to_string(), key_of(&other.id));
        host.publish(Topic::Upstreams, &id, Record::Upstream(Box::new(other)));
        let verdict = host.submit(fleet.job(1)).await;
        let grant = ClaimOutcome::Granted {
            upstream: key,
            place: None,
            load: 0,
        };
        host.receive(reply(&scheduler, answers, grant)).await;
        match verdict.await.expect("a verdict") {
            PlacementDecision::Send(placed) => assert_eq!(placed.key, own_upstream()),
            PlacementDecision::Refused(_) => {}
        }
    }
}

/// Guards against a slot that is given to others while it is in use: a second copy of its grant was
/// taken for one that came too late, and the slot was released.
#[tokio::test(start_paused = true)]
async fn a_repeated_grant_does_not_release_its_slot() {
    let (fleet, scheduler, host) = start_partitioned().await;
    let verdict = host.submit(fleet.job(1)).await;
    let grant = ClaimOutcome::Granted {
        upstream: own_upstream(),
        place: None,
        load: 0,
    };
    host.receive(reply(&scheduler, PROCESS, grant)).await;
    let placed = verdict.await.expect("a verdict");
    assert!(matches!(placed, PlacementDecision::Send(_)));
    host.receive(reply(&scheduler, PROCESS, grant)).await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    let sent = scheduler.take_undelivered();
    let is_end = |msg: &Datagram| matches!(msg, Datagram::Finished(_));
    assert!(!sent.iter().any(is_end), "{sent:?}");
    drop(placed);
}

/// Guards against slots that are granted to processes that have ended, and freed by their late
/// messages while the next process uses them.
#[tokio::test(start_paused = true)]
async fn an_ended_process_keeps_and_frees_no_slot_of_the_next() {
    let (_fleet, scheduler, host) = start_partitioned().await;
    let scheduled = |process, run| outcome_of(&scheduler, &host, claim(&host, process, run));
    assert!(is_granted(scheduled(PROCESS, 1).await));
    assert!(!is_granted(scheduled(PROCESS, 2).await));
    assert!(is_granted(scheduled(LATER_PROCESS, 1).await));
    let late_end = Finished {
        from: sender(&host, PROCESS),
        run: RunId(1),
        upstream: own_upstream(),
        end: TryEnd::Whole,
        held_ms: 100,
        load: None,
    };
    scheduler.receive(Datagram::Finished(late_end)).await;
    assert!(!is_granted(scheduled(LATER_PROCESS, 2).await));
}

/// Guards against requests that wait for their turn in the queue of a scheduler that has ended.
#[tokio::test(start_paused = true)]
async fn a_claim_is_repeated_when_the_process_that_queued_it_has_ended() {
    let (fleet, scheduler, host) = start_partitioned().await;
    let verdict = host.submit(fleet.job(1)).await;
    let queued = ClaimOutcome::Queued { for_ms: 1000 };
    host.receive(reply(&scheduler, PROCESS, queued)).await;
    // Any message of the next process tells that the queue is gone.
    let holding = Holding {
        from: sender(&scheduler, LATER_PROCESS),
        runs: Vec::new(),
    };
    host.receive(Datagram::Holding(holding)).await;
    let verdict = timeout(SHORT, verdict).await.expect("no long wait");
    assert!(matches!(verdict, Ok(PlacementDecision::Send(_))));
}

/// Guards against rate tokens that were lent to an ended process and are spent by the next, which
/// begins with empty buckets.
#[tokio::test(start_paused = true)]
async fn tokens_lent_to_an_ended_process_are_not_spent_by_the_next() {
    let (fleet, scheduler, host) = start_partitioned().await;
    let organisation: OrganisationName = "org".parse().expect("name");
    let mut cfg = configuration();
    cfg.version = ConfigVersion(2);
    cfg.organisations.push(Organisation {
        name: organisation.clone(),
        rate: Some(Rate {
            per_second: 0.001,
            burst: 1.0,
        }),
        priority: None,
        regions: Regions::new(),
    });
    let cfg = Record::Configuration(Arc::new(cfg));
    host.publish(Topic::Configuration, "main", cfg);
    let job = || {
        let mut job = fleet.job(1);
        job.organisation = Some(organisation.clone());
        job
    };
    // Uses this host's own token, if it has one.
    drop(host.submit(job()).await.await);
    for (answers, is_lent) in [(LATER_PROCESS, false), (PROCESS, true)] {
        let verdict = host.submit(job()).await;
        let loan = Loan {
            from: sender(&scheduler, Incarnation(if is_lent { 4 } else { 3 })),
            wants: Vec::new(),
            grants: vec![(organisation.clone(), 1000)],
            denied: Vec::new(),
            answers: Some(answers),
        };
        host.receive(Datagram::Loan(loan)).await;
        let start = Instant::now();
        let is_refused = matches!(
            verdict.await.expect("a verdict"),
            PlacementDecision::Refused(r) if r.reason == RefusalReason::Rate
        );
        assert_eq!(is_refused, !is_lent, "after {:?}", start.elapsed());
    }
}

/// Guards against an upstream that is left out because its predecessor with the same id was
/// replaced or failed: the end of a run belongs to the start that the run was sent to.
#[tokio::test(start_paused = true)]
async fn the_end_of_a_run_is_not_held_against_the_next_start_of_its_upstream() {
    let (fleet, scheduler, _) = start_partitioned().await;
    let send = async || match scheduler.submit(fleet.job(1)).await.await {
        Ok(PlacementDecision::Send(placed)) => *placed,
        other => panic!("{other:?}"),
    };
    let mut first = send().await;
    let mut next = upstream("bac-a", 0, 0, 1);
    next.born = Some(2);
    let id = next.id.to_string();
    let record = Record::Upstream(Box::new(next));
    scheduler.publish(Topic::Upstreams, &id, record);
    first.ended(TryEnd::Misdirected);
    drop(first);
    send().await;
}
