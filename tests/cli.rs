//! Runs the operators' command line as a process, and tests the validation of settings.

#[path = "support/server.rs"]
mod server;
#[allow(dead_code, reason = "each test program uses a part of it")]
#[path = "support/sets.rs"]
mod sets;
#[allow(dead_code, reason = "each test program uses a part of it")]
#[path = "support/store.rs"]
mod store;

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{
        Command,
        Output, //
    },
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use cardamomroad::{
    cli::EntryArguments,
    error::StoreError,
    explain::{
        Basis,
        Choice,
        Decision,
        Measurement,
        Record,
        Subject,
        Target,
        journal::Journal, //
    },
    options::EntryOptions,
    publish::head::HEAD_KEY,
    refusal::{
        Outcome,
        Reason, //
    },
    store::{
        Condition,
        ObjectStore,
        http::HttpStore, //
    },
    util::id::{
        Generation,
        RequestId,
        Version, //
    },
};
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use store::{
    FakeStore,
    Fault, //
};
use tokio::{
    net::TcpListener,
    runtime::Runtime, //
};

/// A fake store served over HTTP, and a folder for configuration files.
struct Fixture {
    runtime: Runtime,
    store: Arc<FakeStore>,
    address: SocketAddr,
    folder: PathBuf,
}

impl Fixture {
    fn new(test: &str) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let store = Arc::new(FakeStore::new());
        let address = runtime.block_on(server::serve(store.clone()));
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        fs::create_dir_all(&folder).unwrap();
        Self {
            runtime,
            store,
            address,
            folder,
        }
    }

    /// Runs the program against the store and waits for its end.
    fn run(&self, args: &[&str]) -> RunOutput {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cardamomroad"));
        command
            .env_clear()
            .env("CARDAMOMROAD_STORE", self.address.to_string());
        RunOutput(command.args(args).output().unwrap())
    }

    /// Writes the example set with the given burst to a file and returns its path.
    fn write_set(&self, burst: u32) -> String {
        let mut set = sets::example("skyglass");
        set.organisations[0].burst = burst;
        let path = self.folder.join(format!("{burst}.toml"));
        fs::write(&path, toml::to_string(&set).unwrap()).unwrap();
        path.display().to_string()
    }

    /// Returns the number of generations published so far.
    fn generations(&self) -> usize {
        self.store.history(HEAD_KEY).len()
    }
}

/// Output and exit code of a finished run.
struct RunOutput(Output);

impl RunOutput {
    fn code(&self) -> i32 {
        self.0.status.code().unwrap()
    }

    fn stdout_text(&self) -> String {
        String::from_utf8(self.0.stdout.clone()).unwrap()
    }

    fn stderr_text(&self) -> String {
        String::from_utf8(self.0.stderr.clone()).unwrap()
    }

    /// Asserts that the run succeeded and returns its standard output.
    fn expect_success(self) -> String {
        assert_eq!(self.code(), 0, "{}", self.stderr_text());
        self.stdout_text()
    }

    /// Asserts the exit code and returns the standard error.
    fn expect_failure(self, code: i32) -> String {
        assert_eq!(
            self.code(),
            code,
            "{}{}",
            self.stdout_text(),
            self.stderr_text()
        );
        self.stderr_text()
    }
}

#[test]
fn set_is_checked_applied_compared_and_read_back() {
    let fixture = Fixture::new("applied");
    let (one, two) = (fixture.write_set(1), fixture.write_set(2));
    assert_eq!(
        fixture.run(&["check", &one]).expect_success(),
        "62 objects, no faults\n"
    );
    let printed = fixture.run(&["apply", &one]).expect_success();
    assert!(
        printed.starts_with("published generation 1 (write "),
        "{printed}"
    );
    let changes = fixture.run(&["diff", &two]).expect_success();
    assert_eq!(changes, "~ organisation central-counters burst: 1 -> 2\n");
    assert_eq!(
        fixture
            .run(&["diff", &two, "--from", &one])
            .expect_success(),
        changes
    );
    fixture
        .run(&["apply", &two, "--expect", "1"])
        .expect_success();
    let got = fixture.run(&["get"]).expect_success();
    assert_eq!(got, fs::read_to_string(&two).unwrap());
    let got = fixture.run(&["get", "--generation", "1"]).expect_success();
    assert_eq!(got, fs::read_to_string(&one).unwrap());
    let status = fixture.run(&["status"]).expect_success();
    assert!(status.starts_with("generation 2 (write "), "{status}");
}

#[test]
fn exit_codes_tell_what_happened() {
    let fixture = Fixture::new("codes");
    let (one, two) = (fixture.write_set(1), fixture.write_set(2));
    let faulty = fixture.folder.join("faulty.toml");
    fs::write(
        &faulty,
        "schema = 1\n[[zone]]\nname = \"a\"\nregion = \"b\"\n",
    )
    .unwrap();
    let e = fixture
        .run(&["check", faulty.to_str().unwrap()])
        .expect_failure(1);
    assert!(
        e.contains("faulty.toml:2: zone a: region: no region is named \"b\""),
        "{e}"
    );
    fixture.run(&["check", "nowhere.toml"]).expect_failure(1);
    fixture.run(&["get"]).expect_failure(1);
    fixture.run(&["apply"]).expect_failure(2);
    fixture
        .run(&["get", "--store", "nowhere"])
        .expect_failure(2);
    fixture
        .run(&["drain", "add", "x", "--within", "1m"])
        .expect_failure(2);
    fixture.run(&["apply", &one]).expect_success();
    fixture.run(&["apply", &two]).expect_success();
    let e = fixture
        .run(&["apply", &one, "--expect", "1"])
        .expect_failure(3);
    assert!(
        e.contains("organisation central-counters burst: 1 -> 2"),
        "{e}"
    );
    fixture.store.set_down(true);
    fixture.run(&["apply", &one]).expect_failure(1);
    assert_eq!(fixture.generations(), 2);
}

#[test]
fn unknown_outcome_has_its_code_and_the_same_write_id_settles_it() {
    let fixture = Fixture::new("unknown");
    let one = fixture.write_set(1);
    fixture.store.plan_put(HEAD_KEY, Fault::LostAfter);
    for _ in 0..20 {
        fixture.store.plan_put(HEAD_KEY, Fault::Refused);
    }
    let ran = fixture.run(&["--output", "json", "apply", &one]);
    let error: Value = serde_json::from_str(&ran.expect_failure(4)).unwrap();
    let id = error["write_id"].as_str().unwrap();
    let printed = fixture
        .run(&["apply", &one, "--write-id", id])
        .expect_success();
    assert!(printed.starts_with("published generation 1 "), "{printed}");
    assert_eq!(fixture.generations(), 1);
}

#[test]
fn json_answers_can_be_read_by_programs() {
    let fixture = Fixture::new("json");
    let one = fixture.write_set(1);
    let read = |ran: RunOutput| serde_json::from_str::<Value>(&ran.expect_success()).unwrap();
    let applied = read(fixture.run(&["--output", "json", "apply", &one]));
    assert_eq!(applied["generation"], 1);
    let two = fixture.write_set(2);
    let changes = read(fixture.run(&["diff", &two, "--output", "json"]));
    assert_eq!(changes[0]["kind"], "organisation");
    assert_eq!(changes[0]["fields"][0]["new"], 2);
    let set = read(fixture.run(&["get", "--output", "json"]));
    assert_eq!(set["zone"].as_array().unwrap().len(), 6);
    let faulty = fixture.folder.join("faulty.toml");
    fs::write(&faulty, "schema = 1\n[[zone]]\nname = \"a\"\n").unwrap();
    let e = fixture
        .run(&["check", faulty.to_str().unwrap(), "--output", "json"])
        .expect_failure(1);
    let e: Value = serde_json::from_str(&e).unwrap();
    assert_eq!(e["faults"][0]["problem"], "missing-field");
    assert_eq!(e["faults"][0]["place"]["line"], 2);
}

#[test]
fn drains_change_the_set_in_force() {
    let fixture = Fixture::new("drain");
    fixture
        .run(&["apply", &fixture.write_set(1)])
        .expect_success();
    let add = [
        "drain",
        "add",
        "works",
        "--zone",
        "central-a",
        "--within",
        "10m",
    ];
    fixture.run(&add).expect_success();
    fixture.run(&add).expect_failure(1);
    assert_eq!(
        fixture.run(&["drain", "list"]).expect_success(),
        "works: zone central-a within 10m\n"
    );
    let unknown_zone = [
        "drain", "add", "other", "--zone", "nowhere", "--within", "10m",
    ];
    let e = fixture.run(&unknown_zone).expect_failure(1);
    assert!(
        e.contains("drain other: target: no zone is named \"nowhere\""),
        "{e}"
    );
    fixture.run(&["drain", "remove", "works"]).expect_success();
    assert_eq!(fixture.run(&["drain", "list"]).expect_success(), "");
    fixture.run(&["drain", "remove", "works"]).expect_failure(1);
    assert_eq!(fixture.generations(), 3);
}

#[test]
fn drain_on_top_of_a_stale_set_is_a_conflict() {
    let fixture = Fixture::new("drain-stale");
    fixture
        .run(&["apply", &fixture.write_set(1)])
        .expect_success();
    fixture
        .run(&["apply", &fixture.write_set(2)])
        .expect_success();
    fixture.store.plan_get(HEAD_KEY, Fault::Stale(1));
    let add = [
        "drain",
        "add",
        "works",
        "--zone",
        "central-a",
        "--within",
        "10m",
    ];
    let e = fixture.run(&add).expect_failure(3);
    assert!(e.contains("burst: 1 -> 2"), "{e}");
    assert_eq!(fixture.generations(), 2);
}

#[test]
fn key_is_made_and_withdrawn() {
    let fixture = Fixture::new("key");
    fixture
        .run(&["apply", &fixture.write_set(1)])
        .expect_success();
    let made = fixture
        .run(&["--output", "json", "key", "new", "schools-2", "schools"])
        .expect_success();
    let made: Value = serde_json::from_str(&made).unwrap();
    let digest = made["object"]["digest"].as_str().unwrap();
    let key = made["key"].as_str().unwrap();
    assert_eq!(
        cardamomroad::util::id::KeyDigest::of(key.as_bytes()).to_string(),
        digest
    );
    fixture
        .run(&["key", "withdraw", "--name", "schools-1"])
        .expect_success();
    fixture
        .run(&["key", "withdraw", "--digest", digest])
        .expect_success();
    let again = fixture
        .run(&["key", "withdraw", "--digest", digest])
        .expect_success();
    assert_eq!(again, format!("key {digest} was withdrawn before\n"));
    assert_eq!(
        fixture
            .run(&["key", "withdrawn"])
            .expect_success()
            .lines()
            .count(),
        2
    );
    fixture
        .run(&["key", "withdraw", "--name", "nobody"])
        .expect_failure(1);
}

#[test]
fn completions_name_the_commands() {
    let script = Fixture::new("completions")
        .run(&["completions", "bash"])
        .expect_success();
    assert!(script.contains("withdraw"));
}

fn request() -> RequestId {
    "bac-a-1/1718/42/9f3c".parse().unwrap()
}

fn records() -> Vec<Record> {
    let record = |decision, basis: Vec<Measurement>| Record {
        host: "bac-a-1".parse().unwrap(),
        at: Duration::from_millis(1500),
        request: Some(request()),
        generation: Generation(7),
        decision,
        basis: Basis::from_vec(basis),
    };
    let upstream = "127.0.0.1:21000".parse().unwrap();
    let routed = Decision::Routed {
        service: "dispatch".parse().unwrap(),
        organisation: Some("hue-stations".parse().unwrap()),
        route: "bookings".parse().unwrap(),
        target: Target::Upstream(upstream),
        choice: Choice::OwnZone,
    };
    let measured = Measurement {
        subject: Subject::InFlight(upstream),
        value: 2,
        age: Duration::ZERO,
    };
    let refused = Decision::Refused {
        reason: Reason::Rate,
        outcome: Outcome::NotRun,
        organisation: Some("hue-stations".parse().unwrap()),
        service: None,
    };
    vec![record(routed, vec![measured]), record(refused, Vec::new())]
}

/// Starts a fake entry host that answers on its operators' address, and returns that address.
async fn host() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(|req: Request<Incoming>| async move {
                let question = req.uri().to_string();
                let answer = match question.as_str() {
                    "/status" => "{\"generation\":7,\"zone\":\"bac-a\"}".to_owned(),
                    "/explain?request=bac-a-1/1718/42/9f3c" | "/explain?refusals" => {
                        Record::to_json_lines(&records()).unwrap()
                    }
                    _ => String::new(),
                };
                Ok::<_, hyper::Error>(Response::new(Full::new(Bytes::from(answer))))
            });
            let connection = http1::Builder::new();
            let _ = connection
                .serve_connection(TokioIo::new(stream), service)
                .await;
        }
    });
    address
}

#[test]
fn host_explains_its_decisions() {
    let fixture = Fixture::new("explain");
    let host = fixture.runtime.block_on(host()).to_string();
    let id = request().to_string();
    let account = fixture
        .run(&["explain", "--host", &host, "--request", &id])
        .expect_success();
    let expected = "\
bac-a-1 at 1.500s, generation 7: sent dispatch by route bookings to upstream 127.0.0.1:21000 \
for hue-stations: best in the own zone
    from requests in flight at 127.0.0.1:21000 = 2 (0s old)
bac-a-1 at 1.500s, generation 7: refused as rate (not-run) for hue-stations
";
    assert_eq!(account, expected);
    let refusals = fixture
        .run(&["explain", "--host", &host, "--refusals"])
        .expect_success();
    assert!(refusals.ends_with("1 refused as rate\n"), "{refusals}");
    let plan = fixture
        .run(&["explain", "--host", &host, "--plan"])
        .expect_success();
    assert!(plan.starts_with("nothing is recorded"), "{plan}");
    let status = fixture.run(&["status", "--host", &host]).expect_success();
    assert_eq!(status, "generation: 7\nzone: bac-a\n");
    fixture.run(&["explain", "--host", &host]).expect_failure(2);
    fixture
        .run(&["status", "--host", "127.0.0.1:1"])
        .expect_failure(1);
}

#[test]
fn journal_keeps_the_latest_records_of_each_request() {
    let mut journal = Journal::new(3);
    for _ in 0..2 {
        records()
            .into_iter()
            .for_each(|record| journal.push(record));
    }
    assert_eq!(journal.len(), 3);
    assert_eq!(journal.request(&request()).count(), 3);
    assert_eq!(journal.refusals().count(), 2);
    assert_eq!(journal.refusal_count(Reason::Rate), 2);
    for mut record in records().into_iter().cycle().take(3) {
        record.request = None;
        journal.push(record);
    }
    assert_eq!(journal.request(&request()).count(), 0);
}

#[test]
fn store_client_tells_refused_unanswered_and_conflict_apart() {
    let fixture = Fixture::new("client");
    let client = HttpStore::new(fixture.address, "test").with_timeout(Duration::from_millis(300));
    fixture.runtime.block_on(async {
        let value = Bytes::from_static(b"one");
        assert_eq!(client.get("a/b").await, Ok(None));
        let version = client
            .put("a/b", value.clone(), Condition::Absent)
            .await
            .unwrap();
        let read = client.get("a/b").await.unwrap().unwrap();
        assert_eq!((read.version, read.value), (version, value.clone()));
        let conflict = client.put("a/b", value.clone(), Condition::Absent).await;
        let current = Some(version);
        let key = "a/b".to_owned();
        assert_eq!(conflict, Err(StoreError::Conflict { key, current }));
        fixture.store.plan([Fault::Refused, Fault::LostAfter]);
        let refused = client
            .put("a/b", value.clone(), Condition::At(version))
            .await;
        assert!(matches!(
            refused,
            Err(StoreError::Refused { status: 503, .. })
        ));
        let lost = client
            .put("a/b", value.clone(), Condition::At(version))
            .await;
        assert!(
            matches!(lost, Err(StoreError::Unanswered { .. })),
            "{lost:?}"
        );
        let listed = client.list("a/").await.unwrap();
        assert_eq!(listed[0].version, Version(2));
        let changes = client.watch("a/", version, Duration::ZERO).await.unwrap();
        assert_eq!(changes.changes, listed);
        assert_eq!(client.hosts().await, Ok(Vec::new()));
        fixture.store.plan_delays([Duration::from_secs(9)]);
        let slow = client.get("a/b").await;
        assert!(
            matches!(slow, Err(StoreError::Unanswered { .. })),
            "{slow:?}"
        );
    });
}

#[test]
fn settings_are_checked_together() {
    let text = |text: &str| Some(text.to_owned());
    let good = EntryArguments {
        name: text("bac-a-1"),
        zone: text("bac-a"),
        callers: text("127.0.0.1:8001"),
        peers: text("127.0.0.1:8002"),
        operators: text("127.0.0.1:8003"),
        store: text("127.0.0.1:7000"),
        fleet_secret: text("0123456789abcdef"),
        seeds: text("127.0.0.1:8102, 127.0.0.1:8202"),
        collector: text("http://127.0.0.1:4318"),
    };
    let options = EntryOptions::new(&good).unwrap();
    assert_eq!(options.seeds.len(), 2);
    assert!(!format!("{options:?}").contains("0123456789abcdef"));
    let bad = EntryArguments {
        name: text("BAC"),
        zone: None,
        peers: text("127.0.0.1:8001"),
        operators: text("8003"),
        store: text("127.0.0.1:0"),
        fleet_secret: text("short secret"),
        seeds: text("127.0.0.1:8102,x"),
        collector: text("ftp://x"),
        ..good
    };
    let errors = EntryOptions::new(&bad).unwrap_err();
    let text = errors.to_string();
    assert_eq!(errors.0.len(), 8, "{text}");
    for expected in [
        "--name (or CARDAMOMROAD_NAME) is \"BAC\"",
        "--zone is missing; give it or set CARDAMOMROAD_ZONE",
        "--peers and --callers are both 127.0.0.1:8001; give each its own port",
        "--operators (or CARDAMOMROAD_OPERATORS) is \"8003\"",
        "--store (or CARDAMOMROAD_STORE) is \"127.0.0.1:0\": port 0 cannot be reached",
        "--fleet-secret has 12 bytes; use at least 16",
        "--seeds (or CARDAMOMROAD_SEEDS) is \"x\"",
        "--collector (or CARDAMOMROAD_COLLECTOR) is \"ftp://x/\": it is not an http address",
    ] {
        assert!(text.contains(expected), "{expected:?} is not in {text}");
    }
    assert!(!text.contains("short secret"));
}

/// Logs of two hosts; the clock of the second host is an hour ahead.
const BAC_LOG: &str = "\
[06:42:44Z INFO  m]  event=configuration-adopted version=7
[06:42:45Z INFO  m]  event=upstream-suspended upstream=i-1 failures=2 for_ms=500
[06:42:45Z INFO  m]  event=upstream-suspended upstream=i-9 failures=2 for_ms=500
[06:42:46Z INFO  m]  event=configuration-adopted version=8
[06:42:47Z INFO  m]  event=placed id=b18e service=s upstream=i-1 zone=bac-a load=2 slots=3
[06:42:47Z INFO  m]  event=placed id=b18e4 service=s upstream=i-9 zone=bac-a load=2 slots=3
[06:42:48Z INFO  m]  event=dependency-lost topic=upstreams
[06:42:48Z INFO  m]  event=answer-lost id=b18e upstream=i-1 cause=connection closed
[06:42:48Z INFO  m]  event=request-ended id=b18e why=lost status=502 held_ms=544
[06:42:49Z INFO  m]  event=dependency-regained topic=upstreams
";
const NAM_LOG: &str = "[07:42:44Z INFO  m]  event=configuration-adopted version=6\n";

#[test]
fn logs_tell_the_story_of_a_request() {
    let fixture = Fixture::new("story");
    let logs = fixture.folder.join("logs");
    fs::create_dir_all(&logs).unwrap();
    fs::write(logs.join("bac-a-1.log"), BAC_LOG).unwrap();
    fs::write(logs.join("nam-a-1.log"), NAM_LOG).unwrap();
    let logs = logs.display().to_string();

    let story = fixture
        .run(&["explain", "--logs", &logs, "b18e"])
        .expect_success();
    let prefixes = story.lines().map(|l| l.split(" [").next().unwrap().trim());
    let prefixes: Vec<&str> = prefixes.collect();
    let expected = [
        "bac-a-1:2 before",
        "bac-a-1:4 before",
        "bac-a-1:5 request",
        "bac-a-1:7 meanwhile",
        "bac-a-1:8 request",
        "bac-a-1:9 request",
    ];
    // Excludes the configuration before version 8, other upstreams, and request b18e4, whose id
    // begins with the id asked for.
    assert_eq!(prefixes, expected, "{story}");

    let changes = fixture
        .run(&["explain", "--logs", &logs, "--beliefs"])
        .expect_success();
    assert_eq!(changes.lines().count(), 7, "{changes}");
    assert!(changes.contains("nam-a-1:1 change"), "{changes}");

    let missing = fixture
        .run(&["explain", "--logs", &logs, "ffff"])
        .expect_failure(1);
    assert!(missing.contains("id=ffff"), "{missing}");
    fixture
        .run(&["explain", "--logs", "absent", "b18e"])
        .expect_failure(1);
    fixture.run(&["explain", "--logs", &logs]).expect_failure(2);
    fixture.run(&["explain", "b18e"]).expect_failure(2);
}
