//! Which clients' connections are closed when memory or descriptors run short, and when one has
//! exceeded a limit. A wrong choice would close connections of ordinary callers or keep those of a
//! crowd.

use std::time::Duration;

use cardamomroad::{
    edge::{
        connection_limits::limits,
        model::ClientLimits, //
    },
    listener::{
        activity::{
            Activity,
            CloseCause,
            Tracking, //
        },
        eviction::{
            Need,
            Snapshot,
            choose, //
        },
    },
};
use tokio::time::{
    Instant,
    advance, //
};

fn snapshot(id: u64, activity: Activity, ms: u64) -> Snapshot {
    Snapshot {
        id,
        activity,
        duration: Duration::from_millis(ms),
        bytes: 12_288,
    }
}

fn receive(record: &mut Tracking, data: &[u8]) -> Option<CloseCause> {
    let limits = limits(112 << 20, 2870, &ClientLimits::default());
    record.received(data, &limits, Instant::now())
}

/// Requests that are being served must go on, and the connections that are of least use go first.
#[test]
fn idle_then_slow_then_unread_connections_are_chosen() {
    let connections = [
        snapshot(1, Activity::Serving, 60_000),
        snapshot(2, Activity::Unread, 9000),
        snapshot(3, Activity::ReadingHead, 800),
        snapshot(4, Activity::Idle, 10),
        snapshot(5, Activity::Idle, 400),
        snapshot(6, Activity::Idle, 5000),
        snapshot(7, Activity::ReadingHead, 100),
    ];
    let chosen = |connections_needed| {
        let need = Need {
            connections: connections_needed,
            bytes: 0,
        };
        let chosen = choose(&connections, need);
        chosen.iter().map(|c| c.id).collect::<Vec<u64>>()
    };
    assert_eq!(chosen(1), [6]);
    assert_eq!(chosen(4), [6, 5, 3, 2]);
    // A request in progress and a head that has just begun are never chosen.
    assert_eq!(chosen(100), [6, 5, 3, 2, 4]);
    let need = Need {
        connections: 0,
        bytes: 12_289,
    };
    assert_eq!(choose(&connections, need).len(), 2);
}

/// A keep-alive connection between two requests must not count as a slow head or as full of data.
#[tokio::test(start_paused = true)]
async fn a_connection_is_idle_between_its_requests() {
    let mut record = Tracking::new(Instant::now());
    let untouched = record.bytes();
    for _ in 0..1000 {
        let head = [b"GET / HTTP/1.1\r\n".to_vec(), vec![b'x'; 9000]].concat();
        assert_eq!(receive(&mut record, &head), None);
        assert_eq!(receive(&mut record, b"\r\n\r\n"), None);
        let (activity, _) = record.activity(false, Instant::now());
        assert_eq!(activity, Activity::ReadingHead);
        assert!(record.bytes() > untouched + 18_000);
        record.request_began(false, false);
        assert_eq!(record.activity(false, Instant::now()).0, Activity::Serving);
        record.answer_ready(Instant::now());
        assert_eq!(record.activity(true, Instant::now()).0, Activity::Unread);
        record.wrote(Instant::now());
        record.request_ended(true, Instant::now());
        advance(Duration::from_secs(11)).await;
        let idle = (Activity::Idle, Duration::from_secs(11));
        assert_eq!(record.activity(false, Instant::now()), idle);
        assert!(record.bytes() <= untouched + 28 * 1024);
    }
}

/// What follows a request in the HTTP server's buffer could be the whole of another head, which
/// would not be counted.
#[tokio::test(start_paused = true)]
async fn data_after_a_request_still_counts() {
    let mut record = Tracking::new(Instant::now());
    let data = [&b"GET / HTTP/1.1\r\n\r\n"[..], &[b'x'; 16_000]].concat();
    receive(&mut record, &data);
    record.request_began(false, false);
    record.answer_ready(Instant::now());
    record.request_ended(true, Instant::now());
    assert!(record.bytes() > 32_000);
}

/// Empty lines and HTTP/2 control frames without end cost processor time, but never become a
/// request. A few of both are ordinary.
#[tokio::test(start_paused = true)]
async fn endless_empty_lines_and_control_frames_exceed_a_limit() {
    let mut record = Tracking::new(Instant::now());
    assert_eq!(receive(&mut record, &b"\r\n".repeat(512)), None);
    assert_eq!(receive(&mut record, b"\r\n"), Some(CloseCause::EmptyLines));
    let mut record = Tracking::new(Instant::now());
    assert_eq!(
        receive(&mut record, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
        None
    );
    let frames = vec![0; 300 * 1024];
    assert_eq!(receive(&mut record, &frames), None);
    assert_eq!(
        receive(&mut record, &frames),
        Some(CloseCause::ControlFrames)
    );
}

/// No client within the published limits may reach those of the host, also where the operator
/// raises them, and some sockets stay free for the host's own connections.
#[test]
fn the_limits_leave_room_for_clients_within_the_published_ones() {
    let published = ClientLimits {
        head_bytes_max: 65_536,
        ..ClientLimits::default()
    };
    for published in [ClientLimits::default(), published] {
        let limits = limits(112 << 20, 2870, &published);
        assert!(limits.head_bytes_max > published.head_bytes_max);
        assert!(
            limits
                .head_fields_max
                .is_some_and(|max| max >= published.head_bytes_max / 4)
        );
        assert!(limits.head_time >= published.head_time * 2);
        let idle = |time| limits.overdue(Activity::Idle, time);
        assert_eq!(idle(published.idle_time * 4 / 5), None);
        assert_eq!(idle(published.idle_time * 3), Some(CloseCause::Idle));
        assert!((1500..=2870 - 200 - 600).contains(&limits.connections_max));
        assert!(limits.held_bytes_max <= 112 << 18);
    }
}
