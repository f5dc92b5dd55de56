//! Summaries that delegates exchange between failure domains.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use crate::cluster_state::{
    CapacitySummary, DomainSummary, HOSTS_PER_PAGE, HostPage, RemoteHost, encoded_bytes,
};
use crate::member::settings::{DELEGATES_PER_DOMAIN, MAX_GOSSIP_BYTES, SUMMARY_INTERVAL_MS};
use crate::member::{Gossip, Member, MemberAction, Purpose};
use crate::{UnixMs, rendezvous};

impl Member {
    /// Whether this host is one of the delegates of its failure domain.
    pub fn is_delegate(&self) -> bool {
        let live = self.live_hosts();
        let delegates =
            rendezvous::ranked(&self.settings.failure_domain, live, DELEGATES_PER_DOMAIN);
        delegates.contains(&self.own.host.as_str())
    }

    /// Sends a summary to a delegate of each other failure domain.
    pub(super) fn send_summaries(&mut self, now: UnixMs, actions: &mut Vec<MemberAction>) {
        self.next_summary_at = now.plus_ms(SUMMARY_INTERVAL_MS);
        if !self.is_delegate() {
            return;
        }
        let receivers = self.summary_receivers(now);
        if receivers.is_empty() {
            return;
        }
        let gossip = self.build_summary_message(Purpose::Summary, now);
        for to in receivers {
            actions.push(MemberAction::Send { to, gossip: Box::new(gossip.clone()) });
        }
    }

    /// Builds a summary of this host's failure domain for one host of another domain.
    pub(super) fn build_summary(
        &mut self,
        purpose: Purpose,
        to: SocketAddr,
        now: UnixMs,
    ) -> MemberAction {
        let gossip = self.build_summary_message(purpose, now);
        MemberAction::Send { to, gossip: Box::new(gossip) }
    }

    fn build_summary_message(&mut self, purpose: Purpose, now: UnixMs) -> Gossip {
        let mut gossip = self.empty_message(purpose);
        let page = self.next_host_page(now);
        gossip.summaries =
            vec![DomainSummary::Hosts(page), DomainSummary::Capacity(self.own_capacity(now))];
        if encoded_bytes(&gossip) > MAX_GOSSIP_BYTES {
            gossip.summaries.remove(0);
        }
        let mut left = MAX_GOSSIP_BYTES.saturating_sub(encoded_bytes(&gossip));
        let max_sends = self.max_sends() * self.domains.names().count().max(1) as u32;
        gossip.hints = self.cross_domain_hints.take(max_sends, &mut left, |_| true, encoded_bytes);
        gossip
    }

    fn own_capacity(&self, now: UnixMs) -> CapacitySummary {
        CapacitySummary {
            failure_domain: self.settings.failure_domain.clone(),
            made_at: now,
            delegate: RemoteHost { host: self.own.host.clone(), address: self.own.address },
            configuration: self.own.configuration,
            spare: self.spare.clone(),
        }
    }

    /// The next page of the list of this domain's hosts; after the last page, the first one again.
    fn next_host_page(&mut self, now: UnixMs) -> HostPage {
        let after = std::mem::take(&mut self.hosts_cursor);
        let all = self.hosts_of_domain(&self.settings.failure_domain);
        let rest = all.into_iter().filter(|(host, _)| *host > after.as_str());
        let mut hosts: Vec<RemoteHost> = rest
            .take(HOSTS_PER_PAGE + 1)
            .map(|(host, address)| RemoteHost { host: host.to_string(), address })
            .collect();
        let is_last = hosts.len() <= HOSTS_PER_PAGE;
        hosts.truncate(HOSTS_PER_PAGE);
        if !is_last {
            self.hosts_cursor = hosts.last().map(|host| host.host.clone()).unwrap_or_default();
        }
        let failure_domain = self.settings.failure_domain.clone();
        HostPage { failure_domain, made_at: now, after, is_last, hosts }
    }

    fn summary_receivers(&mut self, now: UnixMs) -> Vec<SocketAddr> {
        let listed = self.candidates.iter().filter_map(|c| c.failure_domain.as_deref());
        let names: BTreeSet<String> =
            self.domains.names().chain(listed).map(str::to_string).collect();
        let own = self.settings.failure_domain.clone();
        let others = names.into_iter().filter(|name| *name != own);
        others.filter_map(|name| self.summary_receiver(&name, now)).collect()
    }

    /// Address of a random delegate of another domain. While no summaries of the domain arrive, a random address among
    /// those that its hosts may have.
    fn summary_receiver(&mut self, failure_domain: &str, now: UnixMs) -> Option<SocketAddr> {
        let hosts: Vec<(&str, SocketAddr)> = self.domains.hosts(failure_domain).collect();
        if self.domains.is_reachable(failure_domain, now) && !hosts.is_empty() {
            let names = hosts.iter().map(|(host, _)| *host);
            let delegates = rendezvous::ranked(failure_domain, names, DELEGATES_PER_DOMAIN);
            let chosen = *delegates.choose(&mut self.rng)?;
            return hosts.iter().find(|(host, _)| *host == chosen).map(|(_, address)| *address);
        }
        let listed =
            self.candidates.iter().filter(|c| c.failure_domain.as_deref() == Some(failure_domain));
        let known = hosts.iter().map(|(_, address)| *address);
        let all: Vec<SocketAddr> = listed.map(|c| c.address).chain(known).collect();
        all.choose(&mut self.rng).copied()
    }
}
