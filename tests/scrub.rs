//! No form of a caller's key remains in a head that is passed to upstreams.

use base64::{
    Engine,
    engine::general_purpose::{
        STANDARD,
        URL_SAFE_NO_PAD, //
    },
};
use cardamomroad::{
    credential::scrub::{
        KeyExposed,
        ScrubbedHead,
        exposes_key,
        scrub, //
    },
    util::id::KeyDigest,
};
use hyper::{
    HeaderMap,
    Uri, //
};
use proptest::{
    prelude::*,
    test_runner::{
        RngSeed,
        TestRunner, //
    },
};

const KEY: &str = "k3y-of.Thanh~0000~4711";

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        let name: hyper::header::HeaderName = name.parse().expect("name");
        map.append(name, value.parse().expect("value"));
    }
    map
}

fn run(target: &str, pairs: &[(&str, &str)]) -> Result<ScrubbedHead, KeyExposed> {
    let uri: Uri = target.parse().expect("target");
    let known = KeyDigest::of(KEY.as_bytes());
    scrub(&uri, headers(pairs), |digest| *digest == known)
}

fn percent(text: &str) -> String {
    text.bytes().map(|b| format!("%{b:02X}")).collect()
}

#[test]
fn the_key_is_found_and_its_headers_are_dropped() {
    let bearer = format!("bEaReR {KEY}");
    for (name, value) in [
        ("Authorization", bearer.as_str()),
        ("X-Cardamomroad-Key", KEY),
    ] {
        let head = run("/a?b=c", &[(name, value), (name, value), ("accept", "*/*")])
            .expect("one key, given twice");
        assert_eq!(head.key.expect("key").as_bytes(), KEY.as_bytes());
        assert_eq!(head.headers, headers(&[("accept", "*/*")]));
    }
    let both = [
        ("authorization", bearer.as_str()),
        ("x-cardamomroad-key", KEY),
    ];
    assert!(run("/", &both).expect("same key").headers.is_empty());
    let basic = STANDARD.encode(format!("user:{KEY}"));
    let other = [
        ("authorization", format!("Basic {basic}")),
        ("proxy-authorization", bearer.clone()),
    ];
    let other: Vec<_> = other.iter().map(|(n, v)| (*n, v.as_str())).collect();
    let head = run("/", &other).expect("dropped");
    assert!(head.key.is_none() && head.headers.is_empty());
}

#[test]
fn two_different_keys_are_refused() {
    let two = [
        ("x-cardamomroad-key", "one-key-1"),
        ("x-cardamomroad-key", KEY),
    ];
    assert_eq!(run("/", &two).expect_err("two"), KeyExposed::MultipleKeys);
}

#[test]
fn any_form_of_the_presented_key_is_refused_elsewhere() {
    let twice = percent(&percent(KEY));
    let forms = [
        KEY.to_owned(),
        format!("before{KEY}after"),
        percent(KEY),
        twice,
        STANDARD.encode(format!("u:{KEY}")),
        STANDARD.encode(format!("us:{KEY}")),
        STANDARD.encode(format!("use:{KEY}")),
        URL_SAFE_NO_PAD.encode(KEY),
        format!("x{}", URL_SAFE_NO_PAD.encode(KEY)),
        percent(&STANDARD.encode(KEY)),
    ];
    let key = ("x-cardamomroad-key", KEY);
    for form in &forms {
        for target in [
            format!("/a/{form}/b"),
            format!("/a?t={form}&x=1"),
            format!("/a?{form}"),
        ] {
            let err = run(&target, &[key]).expect_err(&target);
            assert_eq!(err, KeyExposed::Target, "{target}");
        }
        let cookie = format!("a=b; t={form}");
        for (name, value) in [
            ("cookie", cookie.as_str()),
            ("x-token", form),
            ("referer", &format!("http://h/?t={form}")),
        ] {
            let err = run("/", &[key, (name, value)]).expect_err(value);
            assert_eq!(err, KeyExposed::Header, "{name}: {value}");
        }
        let trailers = headers(&[("x-sum", form)]);
        let presented = run("/", &[key]).expect("clean").key;
        assert!(exposes_key(&trailers, presented.as_ref()), "{form}");
    }
    assert!(exposes_key(&headers(&[("authorization", "x")]), None));
    assert!(!exposes_key(&headers(&[("x-sum", "1234")]), None));
}

#[test]
fn a_key_that_is_not_presented_properly_is_refused_too() {
    for target in [
        format!("/a?key={KEY}"),
        format!("/{KEY}"),
        format!("/a?key={}", percent(KEY)),
        format!("/a?key={}", STANDARD.encode(KEY).replace('=', "")),
    ] {
        let err = run(&target, &[]).expect_err(&target);
        assert_eq!(err, KeyExposed::Target, "{target}");
    }
    let bearer = format!("Bearer {KEY}");
    for (name, value) in [
        ("cookie", format!("a=b; key={KEY}")),
        ("x-token", KEY.to_owned()),
        ("x-forwarded-authorization", bearer),
    ] {
        let err = run("/", &[(name, value.as_str())]).expect_err(&value);
        assert_eq!(err, KeyExposed::Header);
    }
}

#[test]
fn an_ordinary_head_passes_unchanged() {
    let ordinary = [
        ("accept", "text/html,application/xhtml+xml,*/*;q=0.8"),
        (
            "user-agent",
            "Mozilla/5.0 (X11; Linux x86_64) Gecko/20100101",
        ),
        (
            "cookie",
            "session=0123456789abcdef0123456789abcdef; theme=dark",
        ),
        (
            "if-none-match",
            "\"33a64df551425fcc55e4d42a148795d9f25f89d4\"",
        ),
        (
            "traceparent",
            "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        ),
    ];
    let mut all = ordinary.to_vec();
    all.push(("x-cardamomroad-key", KEY));
    let head = run("/clocks/hue-4?page=2&sort=%C3%A9", &all).expect("ordinary");
    assert_eq!(head.headers, headers(&ordinary));
}

#[test]
fn the_key_is_not_shown() {
    let head = run("/", &[("x-cardamomroad-key", KEY)]).expect("head");
    assert!(!format!("{head:?}").contains(KEY));
}

/// No surrounding text hides any form of the key, and no head causes a panic.
#[test]
fn no_surroundings_hide_the_key() {
    let config = ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let parts = (
        "[a-zA-Z0-9+/_=&;.-]{0,12}",
        "[a-zA-Z0-9+/_=&;.-]{0,12}",
        "[!-~]{8,40}",
        0..4_u8,
    );
    let run = TestRunner::new(config).run(&parts, |(before, after, key, form)| {
        // Separators keep base64 symbols around the encoded key from merging with it.
        let hidden = match form {
            0 => format!("{before}{key}{after}"),
            1 => format!("{before}{}{after}", percent(&key)),
            2 => format!(
                "{before}={}={after}",
                STANDARD.encode(format!("{after}:{key}"))
            ),
            _ => format!("{before};{};{after}", URL_SAFE_NO_PAD.encode(&key)),
        };
        let known = KeyDigest::of(key.as_bytes());
        let map = headers(&[("x-cardamomroad-key", &key), ("x-other", &hidden)]);
        let head = scrub(&Uri::from_static("/"), map, |digest| *digest == known);
        prop_assert!(head.is_err(), "{hidden} passed");
        Ok(())
    });
    run.expect("no key passes");
}
