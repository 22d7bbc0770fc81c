//! Sends requests through the whole path, from the look-up to the upstream and
//! back, with real processes.

use cardamomroad_standins::{
    caller::{
        Ask,
        Caller,
        Upload,
        Verdict, //
    },
    fleet::{
        FleetBuilder,
        demonstration_key,
        example,
        narrow, //
    },
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serves_lookup_request_upload_and_refusal() {
    let mut set = example("thanh-clockworks").unwrap();
    narrow(&mut set, &["bac-a", "trung-a"], 1);
    let fleet = FleetBuilder::new(set).start().await.unwrap();
    let key = demonstration_key("hue-fitters");
    let caller = Caller::new(fleet.caller("fitter", "dispatch").with_key(&key));

    fleet.wait_for_budget("hue-fitters", 3).await.unwrap();
    let answer = caller.lookup().await.unwrap();
    assert!(!answer.hosts.is_empty(), "{answer:?}");

    let ask = Ask::get("/histories/1").with_header("x-standin-length", 100_000);
    let reply = caller.send(&ask).await.unwrap();
    let receipt = reply
        .receipt()
        .unwrap_or_else(|| panic!("{reply}: {:?}", reply.verdict));
    assert_eq!(receipt.organisation, "hue-fitters");
    assert_eq!(reply.outcome.as_deref(), Some("ran"));

    let reply = caller.send(&Ask::post("/bookings")).await.unwrap();
    assert!(reply.receipt().is_some(), "{reply}: {:?}", reply.verdict);

    let workbench = Caller::new(fleet.caller("video", "workbench").with_key(&key));
    let ask = Ask::new(hyper::Method::PUT, "/videos/7", true);
    let reply = workbench
        .send(&ask.with_upload(Upload::new(3_000_000)))
        .await
        .unwrap();
    assert!(reply.receipt().is_some(), "{reply}: {:?}", reply.verdict);

    let nobody = Caller::new(fleet.caller("nobody", "dispatch"));
    let reply = nobody.send(&Ask::get("/histories/1")).await.unwrap();
    assert_eq!(reply.verdict, Verdict::Refused);
    assert_eq!(reply.reason.as_deref(), Some("key-missing"));
}
