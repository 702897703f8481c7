//! Decides which orders to send to the servers of one failure domain.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::config::Declaration;
use crate::config::Placement;
use crate::config::ServerUse;
use crate::engine::Order;
use crate::engine::OrderAction;
use crate::ids::ConfigNumber;
use crate::ids::FencingNumber;
use crate::name::DomainName;
use crate::name::HostName;
use crate::name::ServerName;
use crate::orders::coverage::load_action;
use crate::orders::coverage::may_stop_serving;
use crate::orders::Servers;
use crate::orders::TransitionList;

/// Time after which an order is sent again when the server does not report its effect.
const REPEAT_ORDER_AFTER: Millis = Millis(10_000);

/// Identity of an issuer, with the failure domain and configuration that it acts for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IssuerScope {
    /// Host that issues the orders.
    pub host: HostName,
    /// Failure domain whose servers receive the orders.
    pub domain: DomainName,
    /// Fencing number of the issuer's lease.
    pub fencing: FencingNumber,
    /// Number of the configuration in force on the issuer.
    pub config: ConfigNumber,
}

/// An order with the server that it is sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressedOrder {
    /// Name of the server.
    pub server: ServerName,
    /// Network address of the server.
    pub address: String,
    /// Order to send.
    pub order: Order,
}

/// Writes and orders of one round of an issuer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// List to store by compare-and-swap with the one that was read, before any order is sent;
    /// `None` when it does not change.
    pub transition_list: Option<TransitionList>,
    /// Orders to send after the list is stored.
    pub orders: Vec<AddressedOrder>,
    /// Servers that cannot change yet because too few others would serve their layers.
    pub blocked: Vec<ServerName>,
}

#[derive(Clone, Debug)]
struct SentOrder {
    action: OrderAction,
    at: Millis,
    taken_at: Option<Millis>,
}

/// Plans the orders of an issuer and remembers those sent under its lease; a new lease starts with
/// a new `Issuer`.
#[derive(Debug, Default)]
pub struct Issuer {
    /// Last order sent to each server.
    sent: BTreeMap<ServerName, SentOrder>,
    /// Earliest time of the next load, so that loads stay within the rate of the weight store.
    next_load_at: Millis,
}

impl Issuer {
    /// Creates an issuer that has not sent any order.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the list to store and the orders to send next, from the declared placement, the
    /// reported states of the servers and the stored transition list.
    pub fn plan(
        &mut self,
        now: Millis,
        scope: &IssuerScope,
        declaration: &Declaration,
        servers: &Servers,
        transition_list: &TransitionList,
    ) -> Plan {
        if transition_list.servers.values().any(|config| *config > scope.config) {
            // Another issuer already acts on a later configuration.
            return Plan::default();
        }
        let wanted = engine_placements(declaration, &scope.domain);
        let mut next_list = transition_list.clone();
        next_list.servers.retain(|server, _| {
            !self.is_transition_complete(
                server,
                declaration,
                &scope.domain,
                wanted.get(server),
                servers,
            )
        });
        for (server, config) in &mut next_list.servers {
            if wanted.contains_key(server) {
                *config = scope.config;
            }
        }
        let mut plan = Plan::default();
        for (server, (placement, _)) in &wanted {
            self.add_to_list_if_allowed(
                now,
                scope,
                declaration,
                servers,
                (server, placement),
                &mut next_list,
                &mut plan,
            );
        }
        for (&server, (placement, address)) in &wanted {
            if let Some(action) = self.due_action(now, server, placement, servers, &next_list) {
                self.sent.insert(
                    server.clone(),
                    SentOrder { action: action.clone(), at: now, taken_at: None },
                );
                plan.orders.push(AddressedOrder {
                    server: server.clone(),
                    address: (*address).to_owned(),
                    order: Order {
                        issuer: scope.host.clone(),
                        fencing: scope.fencing,
                        config: scope.config,
                        action,
                    },
                });
            }
        }
        plan.transition_list = (next_list != *transition_list).then_some(next_list);
        plan
    }

    /// Records that a server has taken the order that was sent to it last.
    pub fn on_order_taken(&mut self, now: Millis, server: &ServerName) {
        if let Some(sent) = self.sent.get_mut(server) {
            sent.taken_at = Some(now);
        }
    }

    /// Records that an order was not sent or not taken, so that it is sent again.
    pub fn on_order_not_taken(&mut self, server: &ServerName) {
        self.sent.remove(server);
    }

    /// Returns whether a server can be removed from the transition list: it satisfies its declared
    /// placement, or the configuration no longer declares it as a model engine.
    ///
    /// A report counts only if it was measured after the server took this issuer's own order,
    /// because an earlier one may show layers that the server was about to stop serving.
    fn is_transition_complete(
        &self,
        server: &ServerName,
        declaration: &Declaration,
        domain: &DomainName,
        wanted: Option<&(&Placement, &str)>,
        servers: &Servers,
    ) -> bool {
        let Some((wanted, _)) = wanted else {
            // The issuer of another failure domain removes the servers of its own domain.
            let declared = declaration.servers.get(server);
            return declared.is_none_or(|declared| declared.domain == *domain);
        };
        let Some(sent) = self.sent.get(server) else { return false };
        let Some(taken_at) = sent.taken_at else { return false };
        let Some(state) = servers.get(server) else { return false };
        state.usable && state.measured_at > taken_at && state.satisfies(wanted)
    }

    /// Adds a server that has to change its holding or role to the transition list, if its layers
    /// stay served and the rollout limits permit it.
    #[allow(clippy::too_many_arguments)]
    fn add_to_list_if_allowed(
        &mut self,
        now: Millis,
        scope: &IssuerScope,
        declaration: &Declaration,
        servers: &Servers,
        (server, wanted): (&ServerName, &Placement),
        next_list: &mut TransitionList,
        plan: &mut Plan,
    ) {
        let Some(state) = servers.get(server).filter(|state| state.usable) else { return };
        let action = state.next_action(wanted);
        let stops_serving =
            matches!(action, Some(OrderAction::Load(_) | OrderAction::SetRole { .. }));
        if !stops_serving || next_list.contains(server) {
            return;
        }
        let rollout = &declaration.rollout;
        let in_transition =
            next_list.servers.keys().filter(|server| is_in_own_domain(declaration, server, scope));
        if in_transition.count() >= usize::from(rollout.loads_at_once) || now < self.next_load_at {
            return;
        }
        if !may_stop_serving(server, &declaration.models, servers, next_list, rollout.keep_serving)
        {
            plan.blocked.push(server.clone());
            return;
        }
        next_list.servers.insert(server.clone(), scope.config);
        if matches!(action, Some(OrderAction::Load(_))) {
            self.next_load_at = now + load_time(declaration, wanted);
        }
    }

    /// Returns the action to order from a server now; `None` when nothing is due.
    fn due_action(
        &self,
        now: Millis,
        server: &ServerName,
        wanted: &Placement,
        servers: &Servers,
        transition_list: &TransitionList,
    ) -> Option<OrderAction> {
        let state = servers.get(server);
        let action = if transition_list.contains(server) {
            // This issuer orders servers on the list even if another issuer added them.
            state.and_then(|state| state.next_action(wanted)).unwrap_or_else(|| load_action(wanted))
        } else {
            let next = state.filter(|state| state.usable)?.next_action(wanted)?;
            Some(next).filter(|next| matches!(next, OrderAction::LoadAdapter { .. }))?
        };
        let due = self
            .sent
            .get(server)
            .is_none_or(|sent| sent.action != action || now.since(sent.at) >= REPEAT_ORDER_AFTER);
        due.then_some(action)
    }
}

fn engine_placements<'a>(
    declaration: &'a Declaration,
    domain: &DomainName,
) -> BTreeMap<&'a ServerName, (&'a Placement, &'a str)> {
    let servers = declaration.servers.iter().filter(|(_, server)| server.domain == *domain);
    servers
        .filter_map(|(name, server)| match &server.used_for {
            ServerUse::Engine(placement) => Some((name, (placement, server.address.as_str()))),
            ServerUse::Service(_) => None,
        })
        .collect()
}

fn is_in_own_domain(declaration: &Declaration, server: &ServerName, scope: &IssuerScope) -> bool {
    declaration.servers.get(server).is_some_and(|server| server.domain == scope.domain)
}

/// Returns the time to load the weights of a placement at the declared rate of the weight store.
fn load_time(declaration: &Declaration, wanted: &Placement) -> Millis {
    const MS_PER_S: u64 = 1_000;
    let Some(model) = declaration.models.get(&wanted.model) else { return Millis::ZERO };
    let mb = u64::from(model.weights_mb) * u64::from(wanted.layers.len())
        / u64::from(model.layers.max(1));
    Millis(mb * MS_PER_S / u64::from(declaration.rollout.weights_mb_per_s.max(1)))
}
