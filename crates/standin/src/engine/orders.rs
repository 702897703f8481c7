//! Execution of orders by an engine.

use yuccanotch_core::engine::Order;
use yuccanotch_core::engine::OrderAction;
use yuccanotch_core::engine::OrderReply;

use crate::engine::simulation::Simulation;

impl Simulation {
    /// Executes an order; an engine that checks fencing refuses an order whose number is too old.
    pub(crate) fn handle_order(&mut self, now: u64, i: usize, order: Order) -> OrderReply {
        let engine = &mut self.engines[i];
        let checks_fencing = engine.settings.behavior.honours_fencing;
        if checks_fencing && order.fencing < engine.fencing {
            return OrderReply { taken: false, fencing: Some(engine.fencing) };
        }
        engine.fencing = engine.fencing.max(order.fencing);
        let fencing = checks_fencing.then_some(engine.fencing);
        match order.action {
            OrderAction::Load(holding) => self.begin_load(now, i, holding),
            OrderAction::LoadAdapter { adapter } => {
                if let Some(holding) = &mut engine.holding {
                    if !holding.adapters.contains(&adapter) {
                        holding.adapters.push(adapter);
                    }
                }
            }
            OrderAction::SetRole { role } => engine.role = role,
        }
        OrderReply { taken: true, fencing }
    }
}
