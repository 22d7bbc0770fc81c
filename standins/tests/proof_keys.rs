//! No upstream receives a caller's key, and a request runs only for the
//! organisation whose key it carries.

#[path = "support/proof.rs"]
mod proof;

use cardamomroad::wire;
use cardamomroad_standins::{
    caller::Ask,
    fleet::{
        Fleet,
        demonstration_key, //
    },
};
use proof::{
    MAIN_ORGANISATION,
    OTHER_ORGANISATION,
    all_entries,
    caller,
    fleet,
    raw, //
};

/// Returns requests that carry the key in headers, path, query and trailers,
/// including places where keys are not expected.
fn requests_with_key(key: &str) -> Vec<String> {
    let heads = [
        format!("GET /histories/1 HTTP/1.1\r\nAUTHORIZATION: bearer {key}\r\n"),
        format!("GET /histories/2 HTTP/1.1\r\nAuthorization: Bearer  {key}\r\n"),
        format!("GET /histories/3 HTTP/1.1\r\nX-Cardamomroad-KEY: {key}\r\n"),
        format!(
            "GET /histories/4 HTTP/1.1\r\nauthorization: Bearer {key}\r\nx-cardamomroad-key: {key}\r\n"
        ),
        format!(
            "GET /histories/5 HTTP/1.1\r\nauthorization: Bearer {key}\r\nauthorization: Bearer {key}\r\n"
        ),
        format!("GET /histories/6?key={key} HTTP/1.1\r\nauthorization: Bearer {key}\r\n"),
        format!("GET /histories/7?key={key} HTTP/1.1\r\n"),
        format!("GET /histories/{key} HTTP/1.1\r\nauthorization: Bearer {key}\r\n"),
        format!("GET /histories/8 HTTP/1.1\r\ncookie: k={key}\r\nx-cardamomroad-key: {key}\r\n"),
        format!("GET /histories/9 HTTP/1.1\r\nx-copy: {key}\r\nauthorization: Bearer {key}\r\n"),
        format!(
            "GET /histories/10 HTTP/1.1\r\ntracestate: a={key}\r\nauthorization: Bearer {key}\r\n"
        ),
        format!(
            "GET /histories/11 HTTP/1.1\r\nproxy-authorization: {key}\r\nauthorization: Bearer {key}\r\n"
        ),
        format!("GET /opening-hours HTTP/1.1\r\nauthorization: Bearer {key}\r\n"),
        format!("GET /opening-hours HTTP/1.1\r\nx-cardamomroad-key: {key}\r\n"),
        format!("GET /inspections/1 HTTP/1.1\r\nauthorization: Bearer {key}\r\n"),
        format!("GET /inspections/2?k={key} HTTP/1.1\r\nx-cardamomroad-key: {key}\r\n"),
    ];
    let mut requests = Vec::new();
    for head in heads {
        requests.push(format!("{head}host: x\r\nconnection: close\r\n\r\n"));
    }
    requests.push(format!(
        "PUT /videos/1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {key}\r\n\
         transfer-encoding: chunked\r\ntrailer: x-late\r\n\r\n2\r\nab\r\n0\r\nx-late: {key}\r\n\r\n"
    ));
    requests
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_upstream_log_or_operator_page_shows_a_key() {
    let fleet = fleet(1, &[]).await;
    let key = demonstration_key(OTHER_ORGANISATION);
    for upstream in fleet.upstreams() {
        upstream
            .set_needles(std::slice::from_ref(&key))
            .await
            .unwrap();
    }
    let mut served = 0;
    for host in fleet.hosts() {
        for request in requests_with_key(&key) {
            let answer = raw(host.callers(), &request).await;
            assert!(answer.starts_with("HTTP/1.1 "), "{request}\n{answer}");
            served += u32::from(answer.starts_with("HTTP/1.1 200"));
        }
    }
    // Requests with the key in a valid place are served, so upstreams were reached.
    assert!(served >= 8, "only {served} were served");
    for upstream in fleet.upstreams() {
        let counts = upstream.counts().await.unwrap();
        assert_eq!(counts.needle_hits, 0, "{}", upstream.name());
    }
    for entry in all_entries(&fleet) {
        assert!(!entry.head.contains(&key), "{}", entry.head);
    }
    assert_pages_and_logs_without(&fleet, &key).await;
}

async fn assert_pages_and_logs_without(fleet: &Fleet, key: &str) {
    for host in fleet.hosts() {
        let log = std::fs::read_to_string(host.log()).unwrap();
        assert!(!log.contains(key), "the log of {}", host.name());
        for page in ["/metrics", "/status", "/explain?refusals", "/explain?plan"] {
            let request = format!("GET {page} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
            let text = raw(host.operators(), &request).await;
            assert!(!text.contains(key), "{page} of {}", host.name());
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_runs_only_for_the_organisation_of_its_key() {
    let fleet = fleet(1, &[]).await;
    let callers = [
        caller(&fleet, "large", MAIN_ORGANISATION, "dispatch"),
        caller(&fleet, "other", OTHER_ORGANISATION, "dispatch"),
    ];
    let forged = [
        (wire::ORGANISATION, MAIN_ORGANISATION),
        ("X-Cardamomroad-Organisation", OTHER_ORGANISATION),
    ];
    for host in fleet.hosts() {
        for path in ["/histories/1", "/inspections/1", "/opening-hours"] {
            for (caller, organisation) in
                callers.iter().zip([MAIN_ORGANISATION, OTHER_ORGANISATION])
            {
                for (name, value) in forged {
                    let ask = Ask::get(path).with_header(name, value);
                    let reply = caller.send_to(host.callers(), &ask, None).await;
                    let receipt = reply.receipt();
                    let receipt = receipt.unwrap_or_else(|| panic!("{path}: {reply}"));
                    let open = path == "/opening-hours";
                    let expected = if open { "" } else { organisation };
                    assert_eq!(receipt.organisation, expected, "{path}");
                }
            }
        }
        send_forged_requests(host.callers()).await;
    }
    let runs = all_entries(&fleet);
    assert!(
        runs.iter().all(|e| e.token != "forged"),
        "a forged request ran"
    );
}

/// Sends headers that only entry hosts may send, without a key, and checks that
/// every request is refused.
async fn send_forged_requests(address: std::net::SocketAddr) {
    for header in [
        wire::FORWARD,
        wire::FROM_REGION,
        wire::ROUTE,
        wire::ORGANISATION,
    ] {
        for value in ["run", "serve", "hanoi-stations", "bac", "histories"] {
            let request = format!(
                "GET /histories/1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                 x-standin-token: forged\r\n{}: {MAIN_ORGANISATION}\r\n{header}: {value}\r\n\r\n",
                wire::ORGANISATION
            );
            let answer = raw(address, &request).await;
            assert!(
                answer.starts_with("HTTP/1.1 401"),
                "{header}: {value}\n{answer}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_organisations_on_one_connection_stay_apart() {
    let fleet = fleet(1, &[]).await;
    for host in fleet.hosts() {
        let mut requests = String::new();
        for i in 0..20 {
            let organisation = if i % 2 == 0 {
                MAIN_ORGANISATION
            } else {
                OTHER_ORGANISATION
            };
            let close = if i == 19 { "connection: close\r\n" } else { "" };
            requests.push_str(&format!(
                "GET /histories/{i} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
                 x-standin-token: {organisation}\r\n{close}\r\n",
                demonstration_key(organisation)
            ));
        }
        let answers = raw(host.callers(), &requests).await;
        assert_eq!(answers.matches("HTTP/1.1 200").count(), 20, "{answers}");
    }
    for entry in all_entries(&fleet) {
        assert_eq!(entry.organisation, entry.token);
    }
}
