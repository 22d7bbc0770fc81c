//! Tests that each switch of the upstream stand-in has its documented effect, and
//! that a caller detects answers that are crossed, truncated or changed.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use cardamomroad_standins::{
    caller::{
        Ask,
        Caller,
        Options as CallerOptions,
        Reply,
        Upload,
        Verdict, //
    },
    fleet::{
        Process,
        binary, //
    },
    http::get_json,
    receipt::{
        Receipt,
        ReceiptError,
        SentRequest, //
    },
    upstream::{
        Behaviour,
        CRASH_EXIT_CODE,
        Ending,
        Health,
        HealthAnswer,
        Load,
        Options,
        ReportMode,
        SwitchChange,
        Upstream,
        read_log,
        spawn, //
    },
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    task::JoinHandle,
    time::Instant,
};

fn caller() -> Arc<Caller> {
    Arc::new(Caller::new(CallerOptions::new("c", "dispatch", &[])))
}

async fn send(address: SocketAddr, ask: Ask) -> Reply {
    caller().send_to(address, &ask, None).await
}

fn hold(address: SocketAddr, ask: Ask) -> JoinHandle<Reply> {
    let ask = ask.with_header("x-standin-hold", "gate");
    tokio::spawn(send(address, ask))
}

fn set(upstream: &Upstream, behaviour: Behaviour) {
    upstream.switch(SwitchChange {
        behaviour: Some(behaviour),
        ..SwitchChange::default()
    });
}

#[tokio::test]
async fn an_upload_is_counted_digested_and_answered_whole() {
    let (upstream, address) = spawn(Options::default()).await.unwrap();
    let ask = Ask::post("/bookings?x=1").with_header("x-standin-length", 1_000_003);
    let reply = send(address, ask.with_upload(Upload::new(2_000_001))).await;
    assert_eq!(reply.receipt().unwrap().received, 2_000_001, "{reply}");
    let entry = &upstream.entries()[0];
    assert_eq!(
        (entry.path.as_str(), entry.received),
        ("/bookings?x=1", 2_000_001)
    );
    assert_eq!(entry.ending, Some(Ending::Answered));
    assert!(entry.started_ms <= entry.ended_ms);
}

#[tokio::test]
async fn requests_beyond_slots_and_queue_are_shed() {
    let options = Options {
        slots: 2,
        queue: 1,
        ..Options::default()
    };
    let (upstream, address) = spawn(options).await.unwrap();
    let held = [hold(address, Ask::get("/a")), hold(address, Ask::get("/b"))];
    upstream.wait_for(|c| c.started == 2).await;
    let queued = tokio::spawn(send(address, Ask::get("/c")));
    upstream.wait_for(|c| c.arrived == 3).await;
    let shed = send(address, Ask::get("/d")).await;
    assert_eq!(shed.status, 503);
    assert_eq!(upstream.counts().ended_as(Ending::Shed), 1);
    upstream.release("gate");
    for held in held {
        assert!(held.await.unwrap().receipt().is_some());
    }
    assert!(queued.await.unwrap().receipt().is_some());
    let counts = upstream.counts();
    assert_eq!(
        (counts.started, counts.in_flight_peak, counts.in_flight),
        (3, 2, 0)
    );
}

#[tokio::test]
async fn draining_refuses_before_the_start_and_says_so() {
    let (upstream, address) = spawn(Options::default()).await.unwrap();
    let running = hold(address, Ask::get("/a"));
    upstream.wait_for(|c| c.started == 1).await;
    upstream.switch(SwitchChange {
        drain: Some(true),
        ..SwitchChange::default()
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    let req = b"GET /b HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(req).await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    assert!(
        text.contains("x-cardamomroad-not-started: draining"),
        "{text}"
    );
    let health: HealthAnswer = get_json(address, "/.health").await.unwrap();
    assert_eq!(health.state, Health::Draining);
    upstream.release("gate");
    assert!(running.await.unwrap().receipt().is_some());
    assert_eq!(upstream.counts().started, 1);
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() {
    let options = Options {
        connections: 1,
        ..Options::default()
    };
    let (upstream, address) = spawn(options).await.unwrap();
    let running = hold(address, Ask::get("/a"));
    upstream.wait_for(|c| c.started == 1).await;
    let refused = send(address, Ask::get("/b")).await;
    assert!(matches!(refused.verdict, Verdict::Lost(_)), "{refused}");
    assert_eq!(upstream.counts().connections_refused, 1);
    upstream.release("gate");
    assert!(running.await.unwrap().receipt().is_some());
}

#[tokio::test]
async fn a_closed_connection_is_recorded_as_cancelled() {
    let (upstream, address) = spawn(Options::default()).await.unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let req = b"GET /a HTTP/1.1\r\nhost: x\r\nx-standin-hold: never\r\n\r\n";
    stream.write_all(req).await.unwrap();
    upstream.wait_for(|c| c.started == 1).await;
    drop(stream);
    upstream
        .wait_for(|c| c.ended_as(Ending::Cancelled) == 1)
        .await;
    assert_eq!(upstream.counts().in_flight, 0);
}

#[tokio::test]
async fn a_broken_body_is_seen_as_broken_with_and_without_length() {
    let (upstream, address) = spawn(Options::default()).await.unwrap();
    for chunked in [false, true] {
        set(
            &upstream,
            Behaviour {
                length: 100_000,
                break_after: Some(50_000),
                chunked,
                ..Behaviour::default()
            },
        );
        let reply = send(address, Ask::get("/a")).await;
        assert_eq!(reply.verdict, Verdict::Broken, "chunked={chunked}");
    }
    assert_eq!(upstream.counts().ended_as(Ending::Broken), 2);
}

#[tokio::test]
async fn crossed_answers_are_found() {
    let (upstream, address) = spawn(Options::default()).await.unwrap();
    let first = send(address, Ask::get("/a")).await;
    assert!(first.receipt().is_some());
    set(
        &upstream,
        Behaviour {
            crossed: true,
            ..Behaviour::default()
        },
    );
    let mut ask = Ask::get("/a");
    ask.token = "second".to_owned();
    let reply = send(address, ask).await;
    let crossed = matches!(reply.verdict, Verdict::Wrong(ReceiptError::Crossed { .. }));
    assert!(crossed, "{:?}", reply.verdict);
}

#[test]
fn a_receipt_finds_bodies_that_are_cut_short_changed_or_for_another_request() {
    let receipt = Receipt {
        token: "t".to_owned(),
        method: "GET".to_owned(),
        path: "/a".to_owned(),
        filler: 20,
        ..Receipt::default()
    };
    let sent = SentRequest {
        token: "t".to_owned(),
        method: "GET".to_owned(),
        path: "/a".to_owned(),
        ..SentRequest::default()
    };
    let filler = cardamomroad_standins::receipt::Filler::new("t").bytes(0, 20);
    let body = [receipt.line(), filler].concat();
    assert_eq!(Receipt::check(&body, &sent), Ok(receipt));
    for cut in 0..body.len() {
        assert!(Receipt::check(&body[..cut], &sent).is_err(), "cut at {cut}");
    }
    for flipped in 0..body.len() {
        let mut changed = body.clone();
        changed[flipped] ^= 1;
        let same = Receipt::check(&changed, &sent).is_ok();
        // The caller cannot verify the upstream's name, the id or the organisation.
        assert!(!same || flipped < body.len() - 20, "flipped at {flipped}");
    }
    let other = SentRequest {
        path: "/b".to_owned(),
        ..sent
    };
    assert!(matches!(
        Receipt::check(&body, &other),
        Err(ReceiptError::Changed { .. })
    ));
}

#[tokio::test]
async fn needles_are_found_in_heads_and_in_bodies_split_anywhere() {
    let (upstream, address) = spawn(Options::default()).await.unwrap();
    upstream.set_needles(vec!["secret-key".to_owned()]);
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let head =
        b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 14\r\nx-k: SECRET secret-key\r\n\r\n";
    stream.write_all(head).await.unwrap();
    upstream.wait_for(|c| c.started == 1).await;
    assert_eq!(upstream.counts().needle_hits, 1);
    stream.write_all(b"--secret").await.unwrap();
    upstream.wait_for(|c| c.received == 8).await;
    stream.write_all(b"-key--").await.unwrap();
    upstream.wait_for(|c| c.ended == 1).await;
    assert_eq!(upstream.counts().needle_hits, 2);
}

#[tokio::test]
async fn reports_lie_lag_and_stop() {
    let (upstream, address) = spawn(Options::default()).await.unwrap();
    let running = hold(address, Ask::get("/a"));
    upstream.wait_for(|c| c.started == 1).await;
    let reports = |reports, health| {
        upstream.switch(SwitchChange {
            reports: Some(reports),
            health,
            ..SwitchChange::default()
        });
    };
    let load: Load = get_json(address, "/.load").await.unwrap();
    assert_eq!(
        load,
        Load {
            in_flight: 1,
            slots: 4
        }
    );
    reports(ReportMode::Lagging(3_600_000), Some(Health::Cold));
    let load: Load = get_json(address, "/.load").await.unwrap();
    assert_eq!(load.in_flight, 0);
    let health: HealthAnswer = get_json(address, "/.health").await.unwrap();
    assert_eq!(health.state, Health::Cold);
    let false_load = Load {
        in_flight: 9,
        slots: 1,
    };
    reports(ReportMode::Fixed(false_load), Some(Health::Truth));
    assert_eq!(
        get_json::<Load>(address, "/.load").await.unwrap(),
        false_load
    );
    let health: HealthAnswer = get_json(address, "/.health").await.unwrap();
    assert_eq!(health.state, Health::Ready);
    reports(ReportMode::Down, None);
    assert!(get_json::<Load>(address, "/.load").await.is_err());
    upstream.release("gate");
    assert!(running.await.unwrap().receipt().is_some());
}

#[tokio::test]
async fn a_cold_upstream_and_a_late_answer_take_longer() {
    let options = Options {
        cold: Duration::from_secs(3600),
        cold_extra: Duration::from_millis(40),
        ..Options::default()
    };
    let (_upstream, address) = spawn(options).await.unwrap();
    let health: HealthAnswer = get_json(address, "/.health").await.unwrap();
    assert_eq!(health.state, Health::Cold);
    let started = Instant::now();
    let ask = Ask::get("/a").with_header("x-standin-delay-ms", 20);
    assert!(send(address, ask).await.receipt().is_some());
    assert!(started.elapsed() >= Duration::from_millis(59));
}

#[tokio::test]
async fn a_marked_request_ends_the_process_and_the_log_outlives_it() {
    let folder = tempfile::tempdir().unwrap();
    let log = folder.path().join("log.jsonl");
    let mut command = tokio::process::Command::new(binary("standin-upstream").unwrap());
    command.arg("--log").arg(&log);
    let mut process = Process::start("upstream", command, folder.path())
        .await
        .unwrap();
    let address = process.address("address").unwrap();
    let first = send(address, Ask::get("/a")).await;
    assert!(first.receipt().is_some());
    let crashed = send(address, Ask::get("/crash-upstream")).await;
    assert!(matches!(crashed.verdict, Verdict::Lost(_)), "{crashed}");
    assert_eq!(process.wait().await.unwrap().code(), Some(CRASH_EXIT_CODE));
    let entries = read_log(&log).unwrap();
    let endings: Vec<_> = entries.iter().map(|e| e.ending).collect();
    assert_eq!(endings, [Some(Ending::Answered), Some(Ending::Crashed)]);
}

#[tokio::test]
async fn sigterm_finishes_what_runs() {
    let folder = tempfile::tempdir().unwrap();
    let command = tokio::process::Command::new(binary("standin-upstream").unwrap());
    let mut process = Process::start("upstream", command, folder.path())
        .await
        .unwrap();
    let address = process.address("address").unwrap();
    let control = process.address("control").unwrap();
    let running = hold(address, Ask::get("/a"));
    let post = hyper::Method::POST;
    let wait = serde_json::json!({"started": 1, "wait_ms": 10_000});
    let path = "/control/wait";
    let _: serde_json::Value =
        cardamomroad_standins::http::call_json(control, post.clone(), path, Some(&wait))
            .await
            .unwrap();
    process.signal(rustix::process::Signal::TERM).unwrap();
    let release = serde_json::json!({"name": "gate"});
    let path = "/control/release";
    let _: serde_json::Value =
        cardamomroad_standins::http::call_json(control, post, path, Some(&release))
            .await
            .unwrap();
    assert!(running.await.unwrap().receipt().is_some());
    assert!(process.wait().await.unwrap().success());
}
