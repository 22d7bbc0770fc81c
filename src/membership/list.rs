//! Merges the platform's list of hosts and selects which hosts of other zones to keep.

use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    membership::{
        Membership,
        OTHER_ZONE_HOSTS_MAX,
        message::Contact, //
        peer::{
            Listed,
            Peer,
            PeerState, //
        },
    },
    store::{
        ListedHost,
        ListedState, //
    },
    util::id::{
        HostName,
        ZoneName, //
    },
};

impl Membership {
    /// Merges the platform's complete list; hosts it does not name become absent.
    pub fn on_list(&mut self, now: Instant, hosts: &[ListedHost]) {
        self.merge_list(now, hosts, |_| true);
    }

    /// Merges the entries of one zone from the platform's list; other zones are unaffected.
    pub fn on_zone_list(&mut self, now: Instant, zone: &ZoneName, hosts: &[ListedHost]) {
        self.merge_list(now, hosts, |z| z == zone);
    }

    /// Adds a host, unless its zone is another one whose kept hosts all rank before it.
    ///
    /// All hosts of a zone keep the same hosts of another one, so that their
    /// gossip about these hosts is useful to one another.
    pub(super) fn admit(&mut self, now: Instant, host: &HostName, contact: &Contact) {
        let zone = &contact.zone;
        if *zone != self.contact.zone && !self.full_zones.contains(zone) {
            let rank = |h: &HostName| self.rank(h);
            match self.eviction_candidate(now, zone) {
                None => {}
                Some((last, gone)) if gone || rank(&last) > rank(host) => {
                    self.peers.remove(&last);
                }
                Some(_) => return,
            }
        }
        let peer = Peer::new(host.clone(), contact.clone(), now);
        self.peers.insert(host.clone(), peer);
    }

    /// Returns the kept host to evict first from a zone at its limit, and whether it is gone.
    fn eviction_candidate(&self, now: Instant, zone: &ZoneName) -> Option<(HostName, bool)> {
        let mut kept: SmallVec<[_; OTHER_ZONE_HOSTS_MAX]> = SmallVec::new();
        for peer in self.zone_hosts(zone) {
            let gone = peer.state(now, self.running_since(now)) == PeerState::Gone;
            kept.push((gone, self.rank(&peer.name), &peer.name));
        }
        if kept.len() < OTHER_ZONE_HOSTS_MAX {
            return None;
        }
        let (gone, _, name) = kept.into_iter().max()?;
        Some((name.clone(), gone))
    }

    /// Returns a host's rank, the same at all hosts of this zone; low ranks are kept.
    fn rank(&self, host: &HostName) -> u64 {
        let seed = xxh3_64_with_seed(self.contact.zone.as_str().as_bytes(), 0);
        xxh3_64_with_seed(host.as_str().as_bytes(), seed)
    }

    fn merge_list(
        &mut self,
        now: Instant,
        hosts: &[ListedHost],
        covers: impl Fn(&ZoneName) -> bool,
    ) {
        for peer in self.peers.values_mut() {
            if covers(&peer.contact.zone) {
                peer.listed = Listed::Absent;
            }
        }
        for host in hosts {
            if host.name == self.own_name {
                self.listed_leaving = host.state == ListedState::Leaving;
                continue;
            }
            let contact = Contact {
                zone: host.zone.clone(),
                callers: host.callers,
                peers: host.peers,
            };
            if !self.peers.contains_key(&host.name) {
                self.admit(now, &host.name, &contact);
            }
            let Some(peer) = self.peers.get_mut(&host.name) else {
                continue;
            };
            peer.listed = match host.state {
                ListedState::Live => Listed::Live,
                ListedState::Leaving => Listed::Leaving,
            };
            if peer.heard.is_none() {
                peer.contact = contact;
            }
        }
    }
}
