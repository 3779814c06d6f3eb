//! Orders to the engine, forwarded one at a time and only with the current fencing number.

use std::collections::VecDeque;

use nutmegbay_core::ids::RecordId;
use nutmegbay_proto::control::OrderReply;
use nutmegbay_proto::engine::{EngineOrder, OrderState};
use nutmegbay_settings::model::UpstreamKind;
use tokio::sync::Mutex;

use crate::state::SharedState;
use crate::upstream::UpstreamError;

/// Maximum number of completed orders whose identity is kept. A late repeat of a kept order has no
/// effect, even if the engine has restarted or completed other orders since.
const MAX_COMPLETED_ORDERS: usize = 256;

/// Identities of the latest completed orders, oldest first. The lock is held while an order is
/// forwarded, so that orders are forwarded one at a time.
#[derive(Default)]
pub(crate) struct CompletedOrders(Mutex<VecDeque<RecordId>>);

/// Forwards `order` to the engine and returns whether the engine accepted it. A repeat of an
/// accepted order is accepted without effect.
pub(crate) async fn forward_order(shared: &SharedState, order: EngineOrder) -> OrderReply {
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
    let mut completed = shared.completed_orders.0.lock().await;
    if let Err(e) = shared.log().check_order(order.epoch) {
        return refused(&e, OrderState::default());
    }
    let state = match shared.upstream.get::<OrderState>("/order").await {
        Ok(state) => state,
        Err(e) => return refused(&e, OrderState::default()),
    };
    // Orders run one at a time, so each completion is seen here before the next order is forwarded.
    if let Some(last) = state.completed
        && !completed.contains(&last)
    {
        if completed.len() == MAX_COMPLETED_ORDERS {
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
    // Another lease claim may have taken effect during the request to the engine.
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
        Err(UpstreamError::Refused(status, body)) => {
            let state = serde_json::from_slice(&body).unwrap_or(state);
            refused(&format!("the engine refused with status {status}"), state)
        }
        Err(e) => {
            // The engine may have accepted the order. A repeat reads the engine's state first.
            tracing::warn!(event = "order_unknown", order = %order.order, error = %e);
            refused(&format!("{e}; the order may have taken effect"), state)
        }
    }
}
