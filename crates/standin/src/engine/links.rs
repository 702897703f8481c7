//! Delays of the links between engines, with link faults.

use std::collections::HashMap;

use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServerName;

use crate::settings::LinkSettings;

/// The delays of all links and the faults injected into them.
#[derive(Debug, Default)]
pub(crate) struct Links {
    settings: LinkSettings,
    pair_us: HashMap<(ServerName, ServerName), u32>,
    slow_links: Vec<SlowLink>,
    /// The failure domains that are cut off, each with the end of the fault.
    cut_domains: Vec<(DomainName, u64)>,
}

#[derive(Debug)]
struct SlowLink {
    a: ServerName,
    /// The other end; `None` for all links of `a`.
    b: Option<ServerName>,
    us: u32,
    until_us: u64,
}

impl Links {
    /// Creates links without faults.
    pub(crate) fn new(settings: LinkSettings) -> Self {
        let mut pair_us = HashMap::new();
        for pair in &settings.pairs {
            pair_us.insert((pair.a.clone(), pair.b.clone()), pair.us);
            pair_us.insert((pair.b.clone(), pair.a.clone()), pair.us);
        }
        Self { settings, pair_us, slow_links: Vec::new(), cut_domains: Vec::new() }
    }

    /// Sets the one-way delay of all links of `a`, or of the one to `b`, to `us` until `until_us`.
    pub(crate) fn slow_down(
        &mut self,
        a: ServerName,
        b: Option<ServerName>,
        us: u32,
        until_us: u64,
    ) {
        self.slow_links.push(SlowLink { a, b, us, until_us });
    }

    /// Cuts all links between a failure domain and the others until `until_us`.
    pub(crate) fn cut_domain(&mut self, domain: DomainName, until_us: u64) {
        self.cut_domains.push((domain, until_us));
    }

    /// Ends all faults.
    pub(crate) fn clear(&mut self) {
        self.slow_links.clear();
        self.cut_domains.clear();
    }

    /// Returns the one-way delay between two servers in microseconds, or `None` while the link is
    /// cut.
    pub(crate) fn delay_us(
        &self,
        now_us: u64,
        from: (&ServerName, &DomainName),
        to: (&ServerName, &DomainName),
    ) -> Option<u32> {
        if from.0 == to.0 {
            return Some(0);
        }
        let separates = |(domain, until): &(DomainName, u64)| {
            now_us < *until && ((domain == from.1) != (domain == to.1))
        };
        if self.cut_domains.iter().any(separates) {
            return None;
        }
        let applies = |slow: &&SlowLink| {
            let pair = |x: &ServerName, y: &ServerName| {
                slow.a == *x && slow.b.as_ref().is_none_or(|b| b == y)
            };
            now_us < slow.until_us && (pair(from.0, to.0) || pair(to.0, from.0))
        };
        if let Some(slow) = self.slow_links.iter().find(applies) {
            return Some(slow.us);
        }
        if !self.pair_us.is_empty() {
            if let Some(us) = self.pair_us.get(&(from.0.clone(), to.0.clone())) {
                return Some(*us);
            }
        }
        let same_domain = from.1 == to.1;
        let settings = &self.settings;
        Some(if same_domain { settings.same_domain_us } else { settings.cross_domain_us })
    }
}
