//! Sizes of the answers that this host forwards, and the bytes that come from other zones.

use tokio::time::Instant;

use super::Dispatcher;
use crate::{
    edge::{
        message::{
            AttemptEnded,
            Job, //
        },
        metrics::AnswerBytesLabels, //
    },
    util::id::ZoneName,
};

impl Dispatcher {
    /// Learns from the size of a complete answer, and counts its bytes by the upstream's location.
    pub(super) fn record_answer(&mut self, now: Instant, msg: &AttemptEnded) {
        let Some(bytes) = msg.answer_bytes else {
            return;
        };
        let demand = self.demand_mut(&msg.service, now);
        demand.answer_size.record(bytes);
        if let Some(change) = self.answer_sizes.record(msg.route, bytes) {
            log::info!(
                event = "answer-size",
                service:% = msg.service,
                route:% = format_args!("{:016x}", msg.route),
                large = change.is_large,
                mean_bytes = change.mean_bytes;
                ""
            );
        }
        let Some(u) = self.upstreams.find(msg.key) else {
            return;
        };
        let labels = AnswerBytesLabels {
            place: self.place_of(&u.registration.zone),
        };
        let counter = self.metrics.answer_bytes.get_or_create(&labels);
        counter.inc_by(bytes);
    }

    /// Returns the bytes that pass between this host and the upstream for a request: its body, and
    /// the expected answer if it is large.
    pub(super) fn transferred_bytes(&self, job: &Job) -> u64 {
        let answer_bytes = self.answer_sizes.expected_bytes(job.route);
        job.bytes.saturating_add(answer_bytes)
    }

    /// Returns the location of a zone relative to this host, as the label of metrics.
    pub(super) fn place_of(&self, zone: &ZoneName) -> &'static str {
        match () {
            () if *zone == self.settings.zone => "zone",
            () if self.settings.region_of(zone) == Some(&self.settings.region) => "region",
            () => "other-region",
        }
    }
}
