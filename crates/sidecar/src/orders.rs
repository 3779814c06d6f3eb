//! Orders to the engine: one at a time, under a current fencing number.

use std::collections::VecDeque;

use nutmegbay_core::ids::RecordId;
use nutmegbay_proto::control::OrderReply;
use nutmegbay_proto::engine::{EngineOrder, OrderState};
use nutmegbay_settings::model::UpstreamKind;
use tokio::sync::Mutex;

use crate::state::Shared;
use crate::upstream::AskError;

/// Completed orders whose identity is kept, so that a late repeat has no effect even if the engine
/// has restarted or completed others since.
const COMPLETED_KEPT: usize = 256;

/// Orders that this sidecar has seen completed. The lock is held for a whole order, so that there
/// is one at a time.
#[derive(Default)]
pub(crate) struct OrderDesk(Mutex<VecDeque<RecordId>>);

/// Gives an order to the engine.
pub(crate) async fn order(shared: &Shared, order: EngineOrder) -> OrderReply {
    let refused = |note: &dyn std::fmt::Display, state: OrderState| OrderReply {
        accepted: false,
        note: note.to_string().into(),
        state,
    };
    let instance = &shared.settings.instance;
    if shared.settings.kind != UpstreamKind::Engine {
        return refused(
            &format!("`{instance}` is not an engine"),
            OrderState::default(),
        );
    }
    if order.command.upstream() != Some(instance) {
        let note = format!("the order is not for `{instance}`");
        return refused(&note, OrderState::default());
    }
    let mut completed = shared.orders.0.lock().await;
    if let Err(e) = shared.log().check_order(order.epoch) {
        return refused(&e, OrderState::default());
    }
    let state = match shared.upstream.get::<OrderState>("/order").await {
        Ok(state) => state,
        Err(e) => return refused(&e, OrderState::default()),
    };
    // Orders run one at a time, so each completion shows here before the next order is taken.
    if let Some(last) = state.completed
        && !completed.contains(&last)
    {
        if completed.len() == COMPLETED_KEPT {
            completed.pop_front();
        }
        completed.push_back(last);
    }
    if state.running == Some(order.order) || completed.contains(&order.order) {
        return OrderReply {
            accepted: true,
            note: "a repeat: the order was taken before".into(),
            state,
        };
    }
    if let Some(running) = state.running {
        return refused(&format!("order {running} is in progress"), state);
    }
    let engine_epoch = state.epoch.filter(|_| shared.settings.checks_fencing);
    if engine_epoch > Some(order.epoch) {
        return refused(&"the engine has seen a higher fencing number", state);
    }
    // Another claim may have come into force while the engine was asked.
    if let Err(e) = shared.log().check_order(order.epoch) {
        return refused(&e, state);
    }
    match shared.upstream.post::<OrderState>("/order", &order).await {
        Ok(state) => {
            tracing::info!(event = "order_given", order = %order.order, epoch = %order.epoch);
            OrderReply {
                accepted: true,
                note: "taken by the engine".into(),
                state,
            }
        }
        Err(AskError::Refused(status, body)) => {
            let state = serde_json::from_slice(&body).unwrap_or(state);
            refused(&format!("the engine refused with status {status}"), state)
        }
        Err(e) => {
            // The engine may have taken it. A repeat asks the engine first.
            tracing::warn!(event = "order_unknown", order = %order.order, error = %e);
            refused(&format!("{e}; the order may have taken effect"), state)
        }
    }
}
