//! A simulated failure domain whose hosts fetch one large change from each other over links of their
//! own, while the hosts that have it stop, die and stand still.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use yuccanotch_core::catch_up::FetchEnd;
use yuccanotch_core::catch_up::Fetches;
use yuccanotch_core::catch_up::Reply;
use yuccanotch_core::catch_up::Transfers;
use yuccanotch_core::catch_up::Waits;
use yuccanotch_core::clock::Millis;

/// The time between steps.
const STEP: Millis = Millis(10);
/// The time from a request to its arrival, connection included.
const REQUEST_DELAY: Millis = Millis(10);
/// The time until the others hear what a host has applied.
const NEWS_DELAY: Millis = Millis(60);
/// The time in which a new aggregator reads the store.
const STORE_READ: Millis = Millis(200);
/// The time until the others notice a host that is dead or stands still.
const DETECTION: Millis = Millis(1_250);
/// The number of aggregators.
const AGGREGATORS: usize = 2;

/// What a host does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostState {
    /// It runs.
    Up,
    /// It has ended; connections to it are refused.
    Gone,
    /// It neither runs nor answers, but its connections live on.
    Frozen,
}

/// A host.
#[derive(Debug)]
pub struct SimHost {
    /// The bandwidth of its link in bytes a ms, each way.
    pub link: f64,
    /// What it does, and since when.
    pub state: (HostState, Millis),
    /// When it applied the change.
    pub applied_at: Option<Millis>,
    aggregator_since: Option<Millis>,
    fetches: Fetches,
    transfers: Transfers,
}

/// A request for the change.
#[derive(Debug)]
struct Request {
    from: usize,
    to: usize,
    arrives_at: Millis,
    is_referred: bool,
    /// The bytes that are still to be sent; `None` while the request waits.
    left: Option<f64>,
}

/// The failure domain.
#[derive(Debug)]
pub struct CatchUpSim {
    /// The time since the change.
    pub now: Millis,
    /// The hosts, in the order in which they become aggregators.
    pub hosts: Vec<SimHost>,
    bytes: usize,
    requests: Vec<Request>,
}

impl CatchUpSim {
    /// Creates hosts with links of `links` bytes a ms; the first ones are the aggregators and have just
    /// read a change of `bytes` bytes.
    pub fn new(links: &[f64], bytes: usize, waits: Waits) -> Self {
        let host = |(index, link): (usize, &f64)| SimHost {
            link: *link,
            state: (HostState::Up, Millis::ZERO),
            applied_at: (index < AGGREGATORS).then_some(Millis::ZERO),
            aggregator_since: (index < AGGREGATORS).then_some(Millis::ZERO),
            fetches: Fetches::new(waits),
            transfers: Transfers::default(),
        };
        let hosts = links.iter().enumerate().map(host).collect();
        Self { now: Millis::ZERO, hosts, bytes, requests: Vec::new() }
    }

    /// Changes what a host does.
    pub fn set_state(&mut self, index: usize, state: HostState) {
        self.hosts[index].state = (state, self.now);
    }

    /// Lets one step pass.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.choose_aggregators();
        self.end_broken();
        (0..self.hosts.len()).for_each(|index| self.fetch(index));
        self.decide();
        self.send();
    }

    /// Returns whether the others believe that a host is alive.
    fn is_believed_alive(&self, index: usize) -> bool {
        let (state, since) = self.hosts[index].state;
        state == HostState::Up || self.now.since(since) < DETECTION
    }

    fn aggregators(&self) -> Vec<usize> {
        let alive = (0..self.hosts.len()).filter(|&i| self.is_believed_alive(i));
        alive.take(AGGREGATORS).collect()
    }

    fn choose_aggregators(&mut self) {
        for index in self.aggregators() {
            let host = &mut self.hosts[index];
            let since = *host.aggregator_since.get_or_insert(self.now);
            let has_read = self.now.since(since) >= STORE_READ;
            if host.state.0 == HostState::Up && host.applied_at.is_none() && has_read {
                host.applied_at = Some(self.now);
            }
        }
    }

    /// Returns whether the others have heard that a host has applied the change.
    fn is_known_holder(&self, index: usize) -> bool {
        let applied_at = self.hosts[index].applied_at;
        applied_at.is_some_and(|at| self.now.since(at) >= NEWS_DELAY)
    }

    /// Ends the requests whose server has gone or whose sender gives up.
    fn end_broken(&mut self) {
        let now = self.now;
        let hosts = &mut self.hosts;
        let bytes = self.bytes;
        self.requests.retain(|req| {
            let is_gone = hosts[req.to].state.0 == HostState::Gone;
            let is_overdue = hosts[req.from].fetches.overdue(now).contains(&address(req.to));
            let is_stopped = hosts[req.from].state.0 == HostState::Gone;
            if !(is_gone || is_overdue || is_stopped) {
                return true;
            }
            hosts[req.from].fetches.on_end(now, address(req.to), FetchEnd::Failed);
            if req.left.is_some() {
                hosts[req.to].transfers.on_end(bytes);
            }
            false
        });
    }

    /// Lets a host that is behind begin the fetch that is due.
    fn fetch(&mut self, index: usize) {
        if self.hosts[index].state.0 != HostState::Up || self.hosts[index].applied_at.is_some() {
            return;
        }
        let holders = self.aggregators().into_iter().filter(|&i| self.is_known_holder(i));
        let sources: Vec<SocketAddrV4> = holders.map(address).collect();
        let Some(source) = self.hosts[index].fetches.next(self.now, &sources) else {
            return;
        };
        self.requests.push(Request {
            from: index,
            to: index_of(source),
            arrives_at: self.now + REQUEST_DELAY,
            is_referred: self.hosts[index].fetches.is_referred(source),
            left: None,
        });
    }

    /// Lets the servers decide on the requests that have arrived.
    fn decide(&mut self) {
        let now = self.now;
        let known: Vec<usize> =
            (0..self.hosts.len()).filter(|&i| self.is_known_holder(i)).collect();
        let aggregators = self.aggregators();
        let (hosts, bytes) = (&mut self.hosts, self.bytes);
        self.requests.retain_mut(|req| {
            let can_decide =
                hosts[req.to].state.0 == HostState::Up && hosts[req.to].applied_at.is_some();
            if req.left.is_some() || now < req.arrives_at || !can_decide {
                return true;
            }
            // Only aggregators hear which members have the change.
            let may_refer = !req.is_referred && aggregators.contains(&req.to);
            let holders = known.iter().filter(|&&i| may_refer && i != req.to && i != req.from);
            let holders: Vec<SocketAddrV4> = holders.copied().map(address).collect();
            match hosts[req.to].transfers.decide(now, bytes, &holders) {
                Reply::Send => req.left = Some(bytes as f64),
                Reply::Wait => {}
                Reply::Refer(to) => {
                    let end = FetchEnd::Referred(to);
                    hosts[req.from].fetches.on_end(now, address(req.to), end);
                    return false;
                }
            }
            true
        });
    }

    /// Sends on all links for one step.
    fn send(&mut self) {
        let mut out = vec![0.0; self.hosts.len()];
        let mut into = vec![0.0; self.hosts.len()];
        for req in self.requests.iter().filter(|req| req.left.is_some()) {
            out[req.to] += 1.0;
            into[req.from] += 1.0;
        }
        let (now, bytes) = (self.now, self.bytes);
        let hosts = &mut self.hosts;
        let mut applied = Vec::new();
        for req in &mut self.requests {
            let Some(left) = &mut req.left else {
                continue;
            };
            if hosts[req.to].state.0 != HostState::Up {
                continue;
            }
            let rate =
                (hosts[req.to].link / out[req.to]).min(hosts[req.from].link / into[req.from]);
            *left -= rate * STEP.0 as f64;
            hosts[req.from].fetches.on_bytes(now, address(req.to));
            if *left <= 0.0 {
                applied.push(req.from);
            }
        }
        self.requests.retain(|req| {
            if !applied.contains(&req.from) {
                return true;
            }
            hosts[req.from].fetches.on_end(now, address(req.to), FetchEnd::Applied);
            if req.left.is_some() {
                hosts[req.to].transfers.on_end(bytes);
            }
            false
        });
        for index in applied {
            hosts[index].applied_at.get_or_insert(now);
        }
    }
}

fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8), 7_000)
}

fn index_of(address: SocketAddrV4) -> usize {
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}
