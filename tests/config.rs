//! Tests of parsing, validating, comparing and compiling configuration sets.

#[path = "support/sets.rs"]
mod sets;

use std::net::IpAddr;

use cardamomroad::{
    config::{
        check::check,
        diff::{
            Delta,
            DeltaError, //
        },
        difference::differences,
        index::{
            Index,
            IndexError, //
        },
        object::{
            ConfigSet, //
            Route,
        },
        parse::{
            SourceFile,
            parse, //
        },
        path::normalise_path,
    },
    publish::chunk::split_into_chunks,
    util::id::Generation,
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use serde_json::Value;
use sets::{
    example,
    example_with_blocks, //
};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn source(text: &str) -> SourceFile {
    SourceFile {
        file: "set.toml".to_owned(),
        text: text.to_owned(),
    }
}

fn example_text(name: &str) -> String {
    toml::to_string(&example(name)).unwrap()
}

/// Returns the fault messages for the example with the first match of `old` replaced.
fn faults_with(old: &str, new: &str) -> Vec<String> {
    let text = example_text("skyglass");
    assert!(text.contains(old), "{old} is not in the example");
    let Err(faults) = parse(&[source(&text.replacen(old, new, 1))]) else {
        return Vec::new();
    };
    faults.0.iter().map(ToString::to_string).collect()
}

#[test]
fn examples_are_read_checked_and_written_back() {
    for name in ["thanh-clockworks", "skyglass"] {
        let set = example(name);
        assert_eq!(check(&set), Ok(()));
        let again = parse(&[source(&toml::to_string(&set).unwrap())]);
        assert_eq!(again.unwrap(), set);
    }
}

#[test]
fn each_fault_names_place_object_field_value_and_remedy() {
    let cases = [
        (
            "schema = 1",
            "schema = 9",
            "schema 9 is not supported; write `schema = 1`",
        ),
        (
            "[[region]]",
            "[[regoin]]",
            "unknown kind \"regoin\"; use one of region",
        ),
        (
            "burst = 160",
            "brust = 160",
            "central-counters: brust: unknown field; use one of",
        ),
        (
            "burst = 160",
            "",
            "central-counters: burst: missing; add it, for example",
        ),
        ("burst = 160", "burst = -1", "burst: -1 cannot be read"),
        (
            "burst = 160",
            "burst = 0",
            "burst: 0 is out of bounds; use 1 to",
        ),
        (
            "rate = \"80/s\"",
            "rate = \"0/s\"",
            "rate: 0/s is out of bounds; use 0.001/s to",
        ),
        (
            "cap = \"4Gbit/s\"",
            "cap = \"0bit/s\"",
            "cap: 0bit/s is out of bounds",
        ),
        (
            "cap = \"4Gbit/s\"",
            "cap = \"4 Gb\"",
            "cap: \"4 Gb\" cannot be read",
        ),
        (
            "region = \"western\"",
            "region = \"east\"",
            "region: no region is named \"east\"",
        ),
        (
            "service = \"catalogue\"",
            "service = \"shop\"",
            "service: no service is named \"shop\"",
        ),
        (
            "organisation = \"schools\"",
            "organisation = \"x\"",
            "no organisation is named \"x\"",
        ),
        (
            "zone = \"central-a\"",
            "zone = \"central-b\"",
            "is already used by pool catalogue-central-",
        ),
        (
            "prefix = \"/fines\"",
            "prefix = \"fines\"",
            "prefix: \"fines\" is not a plain path",
        ),
        (
            "prefix = \"/fines\"",
            "prefix = \"/a/../b\"",
            "is not a plain path",
        ),
        (
            "prefix = \"/fines\"",
            "prefix = \"/.cardamomroad/x\"",
            "reserved for the entry hosts",
        ),
        (
            "prefix = \"/fines\"",
            "prefix = \"/deposits\"",
            "is already used by route ",
        ),
        (
            "\"POST\"",
            "\"post\"",
            "methods: \"post\" is not one of GET",
        ),
        (
            "slots = 6",
            "slots = 401",
            "the sum 401 of one upstream's slots, each on its own connection, exceeds the cap 400",
        ),
        (
            "127.0.0.1:22001",
            "127.0.0.1:22000",
            "upstreams: \"127.0.0.1:22000\" appears twice",
        ),
        (
            "127.0.0.1:22001",
            "127.0.0.1:22061",
            "\"127.0.0.1:22061\" is already used by pool",
        ),
        (
            "127.0.0.1:22001",
            "127.0.0.1:0",
            "\"127.0.0.1:0\" is not an address to connect to",
        ),
        (
            "\"10.1.0.0/16\"",
            "\"10.0.0.0/8\"",
            "overlaps 10.0.0.0/8; keep one",
        ),
        (
            "\"10.1.0.0/16\"",
            "\"10.1.0.1/16\"",
            "bits set beyond its prefix",
        ),
        (
            "\"fd00:1::/32\"",
            "\"::ffff:0.0.0.0/96\"",
            "is an IPv4-mapped IPv6 block",
        ),
        (
            "to = \"western\"",
            "to = \"central\"",
            "is also the link's sending region",
        ),
        (
            "access = \"keyed\"",
            "access = \"some\"",
            "unknown variant `some`, expected `keyed` or `open`",
        ),
        (
            "deadline = \"2s\"",
            "deadline = \"2h\"",
            "deadline: 2h is out of bounds; use 1ms to 1h",
        ),
    ];
    for (old, new, expected) in cases {
        let faults = faults_with(old, new);
        let found = faults.iter().any(|fault| fault.contains(expected));
        assert!(found, "{new}: {expected:?} is not in {faults:#?}");
        let located = faults.iter().any(|fault| fault.starts_with("set.toml:"));
        assert!(located, "{faults:#?}");
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = "schema = 1\n[[zone]]\nname = \"A\"\n[[pool]]\nslots = \"x\"\n\
                connections = \"y\"\n[[region]]\nname = 1\n";
    let faults = parse(&[source(text)]).unwrap_err().0;
    let lines: Vec<_> = faults
        .iter()
        .map(|f| f.location.as_ref().unwrap().line)
        .collect();
    assert_eq!(lines, [2, 3, 4, 4, 4, 4, 4, 5, 6, 8]);
}

#[test]
fn objects_may_be_split_across_files() {
    let text = example_text("skyglass");
    let at = text.find("[[service]]").unwrap();
    let second = format!("schema = 1\n{}", &text[at..]);
    let set = parse(&[source(&text[..at]), source(&second)]);
    assert_eq!(set.unwrap(), example("skyglass"));
}

#[test]
fn drains_that_leave_nothing_of_a_service_are_refused() {
    let mut set = example("skyglass");
    for zone in set.zones.clone() {
        assert_eq!(check(&set), Ok(()));
        set.drains.push(cardamomroad::config::object::Drain {
            name: zone.name.as_str().parse().unwrap(),
            target: cardamomroad::config::object::DrainTarget::Zone(zone.name),
            within: std::time::Duration::from_secs(60),
        });
    }
    let faults = check(&set).unwrap_err();
    assert_eq!(faults.0.len(), 2, "{faults}");
}

#[test]
fn requests_take_the_longest_prefix_of_their_method() {
    let set = example("skyglass");
    let index = Index::new(Generation(1), set).unwrap();
    let name = |method, path| {
        index
            .route(method, path)
            .map(|r| r.name.as_str().to_owned())
    };
    assert_eq!(name("GET", "/calendars/june").as_deref(), Some("calendars"));
    assert_eq!(name("GET", "/calendars").as_deref(), Some("calendars"));
    assert_eq!(name("GET", "/calendars-old"), None);
    assert_eq!(name("POST", "/calendars"), None);
    assert_eq!(name("PUT", "/photos/7/1").as_deref(), Some("photos"));
    assert_eq!(name("PUT", "/photos"), None);
    assert_eq!(name("GET", "/%63alendars").as_deref(), Some("calendars"));
}

#[test]
fn ambiguous_path_matches_no_route() {
    let mut set = example("skyglass");
    set.routes[0].prefix = "/".to_owned();
    set.routes[0].methods.clear();
    let index = Index::new(Generation(1), set).unwrap();
    assert!(index.route("POST", "/anything").is_some());
    for path in [
        "/calendars/../deposits",
        "/calendars/%2e%2e/deposits",
        "/calendars/.%2E/deposits",
        "//deposits",
        "/./deposits",
        "/calendars%2f..%2fdeposits",
        "/calendars\\..\\deposits",
        "/%5cdeposits",
        "/deposits/%00",
        "/%zz",
        "/%",
        "deposits",
        "",
        "*",
    ] {
        assert!(index.route("POST", path).is_none(), "{path}");
    }
}

#[test]
fn delta_for_another_generation_is_refused() {
    let (old, new) = (example_with_blocks(10), example_with_blocks(11));
    let mut set = old.clone();
    let delta = Delta::between(Generation(4), &old, Generation(5), &new);
    let wrong = delta.apply(Generation(3), &mut set);
    assert!(matches!(wrong, Err(DeltaError::WrongBase { .. })));
    let back = Delta::between(Generation(4), &old, Generation(4), &new);
    let wrong = back.apply(Generation(4), &mut set);
    assert!(matches!(wrong, Err(DeltaError::NotLater { .. })));
    let gone = Delta::between(Generation(4), &new, Generation(5), &old);
    let wrong = gone.apply(Generation(4), &mut set);
    assert!(matches!(wrong, Err(DeltaError::Missing { .. })));
    assert_eq!(set, old);
    let index = Index::new(Generation(4), old).unwrap();
    let wrong = index.with_delta(&gone);
    assert!(matches!(
        wrong,
        Err(IndexError::Delta(DeltaError::Missing { .. }))
    ));
}

#[test]
fn unchanged_blocks_are_shared_between_generations() {
    let old = example_with_blocks(1000);
    let mut new = old.clone();
    new.organisations[0].burst += 1;
    let delta = Delta::between(Generation(1), &old, Generation(2), &new);
    let index = Index::new(Generation(1), old).unwrap();
    let next = index.with_delta(&delta).unwrap();
    assert!(std::sync::Arc::ptr_eq(index.blocks(), next.blocks()));
    assert_eq!(next.to_whole_set(), new);
}

/// A change to a set's JSON form. Indices select one of its values, modulo
/// their number.
#[derive(Clone, Debug)]
enum Mutation {
    Remove(usize),
    Repeat(usize),
    /// Overwrites the second value with the first.
    Copy(usize, usize),
    SetText(usize, String),
    SetNumber(usize, i64),
}

impl Mutation {
    fn any() -> impl Strategy<Value = Self> {
        prop_oneof![
            3 => any::<usize>().prop_map(Self::Remove),
            3 => any::<usize>().prop_map(Self::Repeat),
            4 => (any::<usize>(), any::<usize>()).prop_map(|(a, b)| Self::Copy(a, b)),
            2 => (any::<usize>(), "[a-z/.:0-9]{0,12}").prop_map(|(i, t)| Self::SetText(i, t)),
            2 => (any::<usize>(), any::<i64>()).prop_map(|(i, n)| Self::SetNumber(i, n)),
        ]
    }

    fn apply(self, root: &mut Value) {
        let mut pointers = Vec::new();
        collect("", root, &mut pointers);
        let at = |i: usize| pointers[i % pointers.len()].clone();
        match self {
            Self::Remove(i) => remove(root, &at(i)),
            Self::Repeat(i) => repeat(root, &at(i)),
            Self::Copy(from, to) => {
                let value = root.pointer(&at(from)).unwrap().clone();
                *root.pointer_mut(&at(to)).unwrap() = value;
            }
            Self::SetText(i, text) => *root.pointer_mut(&at(i)).unwrap() = text.into(),
            Self::SetNumber(i, number) => *root.pointer_mut(&at(i)).unwrap() = number.into(),
        }
    }
}

/// Collects the JSON pointers of all values below one.
fn collect(at: &str, value: &Value, pointers: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let at = format!("{at}/{key}");
                collect(&at, value, pointers);
                pointers.push(at);
            }
        }
        Value::Array(values) => {
            for (i, value) in values.iter().enumerate() {
                let at = format!("{at}/{i}");
                collect(&at, value, pointers);
                pointers.push(at);
            }
        }
        _ => (),
    }
}

fn remove(root: &mut Value, at: &str) {
    let (parent, key) = at.rsplit_once('/').unwrap();
    match root.pointer_mut(parent) {
        Some(Value::Object(fields)) => drop(fields.remove(key)),
        Some(Value::Array(values)) => drop(values.remove(key.parse().unwrap())),
        _ => (),
    }
}

fn repeat(root: &mut Value, at: &str) {
    let (parent, key) = at.rsplit_once('/').unwrap();
    if let Some(Value::Array(values)) = root.pointer_mut(parent) {
        let value = values[key.parse::<usize>().unwrap()].clone();
        values.push(value);
    }
}

/// Returns the example after some changes, if it still deserializes as a set.
fn mutated(mutations: Vec<Mutation>) -> Option<ConfigSet> {
    let mut json = serde_json::to_value(example("skyglass")).unwrap();
    for mutation in mutations {
        mutation.apply(&mut json);
    }
    let mut set: ConfigSet = serde_json::from_value(json).ok()?;
    set.sort();
    Some(set)
}

/// Generates valid variants of the example: keys and routes are dropped, and
/// bursts and client blocks replaced.
fn valid_set() -> impl Strategy<Value = ConfigSet> {
    let kept = prop::collection::vec(any::<bool>(), 14);
    let bursts = prop::collection::vec(1..9_u32, 8);
    let blocks = prop::collection::btree_set(0..40_u32, 0..20);
    (kept, bursts, blocks).prop_map(|(kept, bursts, blocks)| {
        let mut set = example("skyglass");
        for (organisation, burst) in set.organisations.iter_mut().zip(bursts) {
            organisation.burst = burst;
        }
        let mut keep = kept.into_iter();
        set.keys.retain(|_| keep.next().unwrap_or(true));
        set.routes.retain(|_| keep.next().unwrap_or(true));
        let all_blocks = example_with_blocks(40).blocks;
        set.blocks = blocks
            .iter()
            .map(|&i| all_blocks[i as usize].clone())
            .collect();
        set
    })
}

/// Finds a route by a linear search, as a reference for [`Index::route`].
fn naive_route<'a>(set: &'a ConfigSet, method: &str, path: &str) -> Option<&'a Route> {
    let path = normalise_path(path)?;
    let matches = |route: &&Route| {
        let rest = path.strip_prefix(route.prefix.as_str());
        let whole = rest.is_some_and(|rest| {
            rest.is_empty() || rest.starts_with('/') || route.prefix.ends_with('/')
        });
        let method = route.methods.is_empty() || route.methods.iter().any(|m| m == method);
        whole && method
    };
    set.routes
        .iter()
        .filter(matches)
        .max_by_key(|route| route.prefix.len())
}

proptest! {
    #![proptest_config(config(600))]

    #[test]
    fn any_text_is_read_or_refused(text in "\\PC*") {
        let _ = parse(&[source(&text)]);
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Delta::decode(&bytes);
    }

    /// A set parsed from a damaged file compiles, so every host can load it.
    #[test]
    fn damaged_example_is_refused_or_loaded(
        cuts in prop::collection::vec((any::<usize>(), 0..9_usize, "[ -~\n]{0,6}"), 1..4),
    ) {
        let mut text = example_text("thanh-clockworks");
        for (at, length, new) in cuts {
            let at = at % text.len();
            let end = (at + length).min(text.len());
            text.replace_range(at..end, &new);
        }
        if let Ok(set) = parse(&[source(&text)]) {
            prop_assert!(Index::new(Generation(1), set).is_ok());
        }
    }

    /// Every set that `check` accepts compiles, and is unchanged by a round trip
    /// through files, chunks and the compiled form.
    #[test]
    fn accepted_set_is_loaded_by_every_host(
        mutations in prop::collection::vec(Mutation::any(), 0..3),
    ) {
        let Some(set) = mutated(mutations) else {
            return Ok(());
        };
        if check(&set).is_err() {
            return Ok(());
        }
        let again = parse(&[source(&toml::to_string(&set).unwrap())]);
        prop_assert_eq!(again.as_ref(), Ok(&set));
        let (manifest, chunks) = split_into_chunks(&set, None).unwrap();
        prop_assert_eq!(&chunks.set(&manifest).unwrap(), &set);
        let index = Index::new(Generation(1), set.clone());
        prop_assert_eq!(index.unwrap().to_whole_set(), set);
    }

    /// Applying a delta yields exactly the new set, both for the set and for the
    /// compiled form, and also after merging several deltas.
    #[test]
    fn delta_produces_the_new_set(sets in prop::collection::vec(valid_set(), 2..4)) {
        let mut set = sets[0].clone();
        let mut index = Index::new(Generation(0), set.clone()).unwrap();
        let mut all: Option<Delta> = None;
        for (i, pair) in (0..).zip(sets.windows(2)) {
            let (from, to) = (Generation(i), Generation(i + 1));
            let delta = Delta::between(from, &pair[0], to, &pair[1]);
            let delta = Delta::decode(&delta.encode().unwrap()).unwrap();
            delta.apply(from, &mut set).unwrap();
            prop_assert_eq!(&set, &pair[1]);
            index = index.with_delta(&delta).unwrap();
            prop_assert_eq!(&index.to_whole_set(), &pair[1]);
            prop_assert_eq!(differences(&pair[0], &pair[1]).len(), delta.changes.len());
            match &mut all {
                Some(all) => all.changes.extend(delta.changes),
                None => all = Some(delta),
            }
        }
        let mut joined = sets[0].clone();
        all.unwrap().changes.apply(&mut joined);
        prop_assert_eq!(&joined, &set);
    }

    #[test]
    fn route_is_that_of_a_plain_search(
        prefixes in prop::collection::vec("(/[ab]{1,2}){0,3}/?", 1..8),
        post in prop::collection::vec(any::<bool>(), 8),
        path in "(/[ab]{1,2}|/%61|/\\.\\.){0,4}/?",
    ) {
        let mut set = example("skyglass");
        let route = set.routes[0].clone();
        set.routes.clear();
        for (i, prefix) in prefixes.into_iter().enumerate() {
            set.routes.push(Route {
                name: format!("r{i}").parse().unwrap(),
                prefix,
                methods: if post[i] { vec!["POST".to_owned()] } else { Vec::new() },
                ..route.clone()
            });
        }
        if check(&set).is_err() {
            return Ok(());
        }
        let index = Index::new(Generation(1), set.clone()).unwrap();
        for method in ["GET", "POST"] {
            prop_assert_eq!(index.route(method, &path), naive_route(&set, method, &path));
        }
    }

    #[test]
    fn nearest_zones_are_those_of_the_block_that_holds_the_client(
        blocks in prop::collection::btree_set(0..200_u32, 0..100),
        low in any::<u8>(),
    ) {
        let mut set = example_with_blocks(200);
        let all = set.blocks.clone();
        set.blocks = blocks.iter().map(|&i| all[i as usize].clone()).collect();
        let index = Index::new(Generation(1), set.clone()).unwrap();
        for block in &all {
            let IpAddr::V4(first) = block.net.addr() else { unreachable!() };
            let client = std::net::Ipv4Addr::from_bits(first.to_bits() | u32::from(low));
            let held = set.blocks.iter().find(|b| b.net.contains(&IpAddr::V4(client)));
            let near = held.map_or(&[][..], |b| &b.near);
            prop_assert_eq!(index.near(IpAddr::V4(client)), near);
            prop_assert_eq!(index.near(IpAddr::V6(client.to_ipv6_mapped())), near);
        }
    }
}
