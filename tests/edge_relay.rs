//! Memory of the changes that a host keeps for its followers.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Weak, //
    },
};

use cardamomroad::edge::{
    message::TopicUpdate,
    model::{
        ConfigVersion,
        Configuration, //
    },
    relay::{
        RelayAnswer,
        RelayNews,
        RelayQuery,
        SuspendAwareInstant,
        TopicCaches, //
    },
    topic::{
        Change,
        Changes,
        Era,
        Position,
        Record,
        Revision,
        Topic, //
    },
};
use xtra::Mailbox;

fn configuration(version: u64) -> Arc<Configuration> {
    Arc::new(Configuration {
        version: ConfigVersion(version),
        routes: HashMap::new(),
        services: HashMap::new(),
        organisations: Vec::new(),
        keys: HashMap::new(),
        body_bytes_max: 1 << 20,
        client_limits: Default::default(),
        unreadable_parts: 0,
        requires_keys: false,
    })
}

fn changes(version: u64, cfg: Arc<Configuration>) -> Changes {
    Changes {
        changes: vec![Change {
            name: "main".to_owned(),
            record: Some(Record::Configuration(cfg)),
        }],
        revision: Revision(version),
        ..Changes::default()
    }
}

fn position(revision: u64) -> Position {
    Position {
        era: Era(0),
        revision: Revision(revision),
    }
}

/// An operator publishes many configurations in a row. Each of them was kept for followers, up to
/// 2,048, which exceeded the memory of a host if they were large.
#[tokio::test]
async fn only_the_last_configuration_is_kept() {
    let (dispatcher, mailbox) = Mailbox::unbounded();
    // Messages to the dispatcher are dropped.
    drop(mailbox);
    let caches = TopicCaches::new(dispatcher);
    let mut kept: Vec<Weak<Configuration>> = Vec::new();
    for version in 1..=300 {
        let cfg = configuration(version);
        kept.push(Arc::downgrade(&cfg));
        let (base, news) = match version {
            1 => (None, TopicUpdate::Whole(changes(version, cfg))),
            _ => (
                Some(position(version - 1)),
                TopicUpdate::Since(changes(version, cfg)),
            ),
        };
        let now = SuspendAwareInstant::now();
        caches.apply_read(Topic::Configuration, base, news, now);
    }
    assert_eq!(caches.position(Topic::Configuration), Some(position(300)));
    let alive = kept.iter().filter(|cfg| cfg.strong_count() > 0).count();
    assert_eq!(alive, 1);
    // A follower that has missed many of them gets the last one.
    for behind in [1, 150, 299] {
        let mut after = [None; Topic::ALL.len()];
        after[Topic::Configuration.index()] = Some(position(behind));
        let answer = caches
            .answer(&RelayQuery {
                after,
                wait_ms: 0,
                configuration: None,
            })
            .await;
        let TopicUpdate::Since(news) = &answer.topics[0].news else {
            panic!("{answer:?}");
        };
        assert_eq!(news.revision, Revision(300));
        let [
            Change {
                record: Some(Record::Configuration(cfg)),
                ..
            },
        ] = &news.changes[..]
        else {
            panic!("{news:?}");
        };
        assert_eq!(cfg.version, ConfigVersion(300));
    }
}

/// A follower that asks to wait without end kept its connection, which is not closed under
/// pressure, so that a crowd of them used up the descriptors.
#[tokio::test(start_paused = true)]
async fn no_query_waits_without_end() {
    let (address, _mailbox) = Mailbox::unbounded();
    let caches = TopicCaches::new(address);
    let position = Position {
        era: Era::default(),
        revision: Revision(1),
    };
    let query = RelayQuery {
        after: [Some(position); Topic::ALL.len()],
        wait_ms: u64::MAX,
        configuration: None,
    };
    let answered = tokio::time::timeout(std::time::Duration::from_secs(60), caches.answer(&query));
    assert!(answered.await.is_ok());
}

/// Guards against a host that puts off its own read of the store because of a relay's answer whose
/// changes it could not apply.
#[tokio::test]
async fn an_answer_that_no_longer_applies_is_no_recent_news() {
    let (dispatcher, _mailbox) = Mailbox::unbounded();
    let caches = TopicCaches::new(dispatcher);
    let (topic, now) = (Topic::Configuration, SuspendAwareInstant::now());
    let news = |version| changes(version, configuration(version));
    caches.apply_read(topic, None, TopicUpdate::Whole(news(1)), now);
    let query = RelayQuery {
        after: caches.positions(),
        wait_ms: 0,
        configuration: None,
    };
    let base = Some(position(1));
    caches.apply_read(topic, base, TopicUpdate::Since(news(2)), now);
    let topics = vec![RelayNews {
        topic,
        age_ms: 0,
        news: TopicUpdate::Since(news(3)),
    }];
    let answer = RelayAnswer {
        topics,
        outage_ended_ms: None,
    };
    caches.apply_relayed(&query, answer, now);
    assert_eq!(caches.position(topic), Some(position(2)));
    assert!(caches.relayed(topic).is_none());
}
