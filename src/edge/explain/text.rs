//! The text form of an explanation, for operators.

use std::fmt::{
    self,
    Display,
    Formatter, //
};

use super::{
    Decision,
    Explanation,
    Inputs,
    RateLimit,
    RouteInfo,
    Target,
    UpstreamInput,
    WaitReason, //
};

impl Display for Explanation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "decision: {}", self.decision)?;
        write!(f, "\nhost: {} in {}, {}", self.host, self.zone, self.region)?;
        match &self.route {
            Some(route) => write!(f, "\nroute: {route}")?,
            None => write!(f, "\nroute: none")?,
        }
        if let Some(organisation) = &self.organisation {
            write!(f, "\norganisation: {organisation}")?;
        }
        if let Some(limit) = &self.rate_limit {
            write!(f, "\nrate limit: {limit}")?;
        }
        if let Some(target) = &self.target {
            write!(f, "\ntarget: {target}")?;
        }
        write!(f, "\n{}", self.inputs)?;
        for note in &self.notes {
            write!(f, "\nnote: {note}")?;
        }
        Ok(())
    }
}

impl Display for Decision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Upstream { id, address, zone } => write!(f, "upstream {id} at {address}, {zone}"),
            Self::Wait { reason, at_most_ms } => {
                let what = match reason {
                    WaitReason::Token => "a token",
                    WaitReason::Slot => "a slot",
                };
                write!(f, "waits for {what}, at most {at_most_ms} ms")
            }
            Self::Claim {
                scheduler,
                local_view,
            } => write!(f, "{scheduler} decides; by this host's data: {local_view}"),
            Self::Refused {
                reason,
                status,
                retry_after_ms,
            } => {
                write!(f, "refused: {reason}, status {status}")?;
                match retry_after_ms {
                    Some(ms) => write!(f, ", retry after {ms} ms or more"),
                    None => Ok(()),
                }
            }
        }
    }
}

impl Display for RouteInfo {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            prefix,
            tries,
            priority,
            latency_target_ms,
            timeout_ms,
            ..
        } = self;
        let service = self.service.as_deref().unwrap_or("-");
        let repeats = match self.idempotent {
            true => "may be repeated",
            false => "must not be repeated",
        };
        write!(
            f,
            "{prefix} to {service}, {repeats}, {tries} tries, rank {priority}, "
        )?;
        write!(
            f,
            "target {latency_target_ms} ms, time limit {timeout_ms} ms"
        )?;
        match self.regions.is_empty() {
            true => write!(f, ", all regions"),
            false => write!(f, ", only in {}", self.regions.join(",")),
        }
    }
}

impl Display for RateLimit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let state = match (self.has_token, self.is_exhausted) {
            (true, _) => "a token is here",
            (false, false) => "no token here, other hosts are asked",
            (false, true) => "no token here, and other hosts gave none",
        };
        write!(
            f,
            "{state}; {:.1} own and {:.1} borrowed, share {:.1}/s of {:.1}/s",
            self.tokens, self.borrowed, self.share_per_second, self.rate_per_second
        )
    }
}

impl Display for Target {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let overflow = match self.is_overflow {
            true => " (its own region has no slot)",
            false => "",
        };
        write!(f, "region {}{overflow}", self.region)?;
        write!(f, ", position {:.3} of the shares", self.position)?;
        for (region, share) in &self.shares {
            write!(f, " {region}:{share:.2}")?;
        }
        let domain = self.domain.as_deref().unwrap_or("none");
        let scheduler = self.scheduler.as_deref().unwrap_or("none");
        write!(f, "; domain {domain}, scheduler {scheduler}")?;
        write!(f, ", {} waiting here", self.waiting)
    }
}

impl Display for Inputs {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.configuration {
            Some(version) => write!(f, "configuration: {version}")?,
            None => write!(f, "configuration: none")?,
        }
        if !self.is_configuration_current {
            write!(f, ", not the last one published")?;
        }
        write!(
            f,
            ", confirmed {}",
            ago(self.configuration_confirmed_ms_ago)
        )?;
        if !self.is_fresh {
            write!(f, ", too old for requests with keys")?;
        }
        write!(f, "\nupstreams: {}", self.upstream_count)?;
        write!(f, ", list read {}", ago(self.upstreams_read_ms_ago))?;
        if !self.evacuated_zones.is_empty() {
            write!(f, ", evacuated: {}", self.evacuated_zones.join(","))?;
        }
        for upstream in &self.upstreams {
            write!(f, "\n  {upstream}")?;
        }
        Ok(())
    }
}

impl Display for UpstreamInput {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            id,
            zone,
            slots,
            free,
            running,
            remote_running,
            ..
        } = self;
        write!(f, "{id} in {zone}: {free} of {slots} free, ")?;
        write!(f, "{running} of this host and {remote_running} of others")?;
        write!(f, ", load report {}", ago(self.report_age_ms))?;
        write!(f, ", slowness {:.2}", self.slowness)?;
        write!(f, " ({} ms old)", self.slowness_age_ms)?;
        match self.object_position {
            Some(position) => write!(f, ", object at {position}")?,
            None => write!(f, ", object not known")?,
        }
        if !self.is_usable {
            write!(f, ", not usable")?;
        }
        if let Some(ms) = self.paused_ms {
            write!(f, ", paused for {ms} ms")?;
        }
        if let Some(ms) = self.cold_ms {
            write!(f, ", cold for {ms} ms")?;
        }
        Ok(())
    }
}

/// Returns the text for an age in milliseconds; `None` is an event that has not happened.
fn ago(ms: Option<u64>) -> String {
    ms.map_or_else(|| "never".to_owned(), |ms| format!("{ms} ms ago"))
}
