//! Orders to the engine: role changes, model loads and adapter loads, one at a time.

use std::collections::HashSet;
use std::time::Duration;

use nutmegbay_core::ids::{Epoch, RecordId};
use nutmegbay_core::record::{EngineRole, OrderCommand};
use nutmegbay_proto::engine::{EngineOrder, OrderState};
use tokio::time::Instant;

use super::config::EngineConfig;

/// Checks and executes the orders of one engine incarnation.
#[derive(Debug)]
pub(super) struct OrderExecutor {
    checks_fencing: bool,
    role_change_time: Duration,
    load_time: Duration,
    role: EngineRole,
    models: Vec<Box<str>>,
    adapters: Vec<Box<str>>,
    /// Highest fencing number accepted, `None` if the engine ignores them or has accepted none.
    epoch: Option<Epoch>,
    /// Order in progress, with the time at which it completes.
    running: Option<(EngineOrder, Instant)>,
    /// Order that completed last.
    completed: Option<RecordId>,
    /// All completed orders, to recognize repeats.
    applied: HashSet<RecordId>,
}

/// Reason for refusing an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderRejection {
    Fenced,
    Busy,
    UnsupportedCommand,
}

impl OrderExecutor {
    pub(super) fn new(cfg: &EngineConfig) -> Self {
        Self {
            checks_fencing: cfg.checks_fencing,
            role_change_time: Duration::from_millis(cfg.role_change_ms),
            load_time: Duration::from_millis(cfg.load_model_ms),
            role: cfg.role,
            models: cfg.models.clone(),
            adapters: Vec::new(),
            epoch: None,
            running: None,
            completed: None,
            applied: HashSet::new(),
        }
    }

    /// Starts an order. Returns `false` for a repeat of an order that runs or has completed, which
    /// has no further effect.
    pub(super) fn start(
        &mut self,
        order: EngineOrder,
        now: Instant,
    ) -> Result<bool, OrderRejection> {
        if self.checks_fencing && self.epoch.is_some_and(|epoch| order.epoch < epoch) {
            return Err(OrderRejection::Fenced);
        }
        let duration = match order.command {
            OrderCommand::SetRole { .. } => self.role_change_time,
            OrderCommand::LoadModel { .. } | OrderCommand::LoadAdapter { .. } => self.load_time,
            OrderCommand::AddUpstream { .. } | OrderCommand::RemoveUpstream { .. } => {
                return Err(OrderRejection::UnsupportedCommand);
            }
        };
        let running = self.running.as_ref().map(|(running, _)| running.order);
        if running == Some(order.order) || self.applied.contains(&order.order) {
            return Ok(false);
        }
        if running.is_some() {
            return Err(OrderRejection::Busy);
        }
        if self.checks_fencing {
            self.epoch = self.epoch.max(Some(order.epoch));
        }
        self.running = Some((order, now + duration));
        Ok(true)
    }

    /// Returns the time at which the running order completes, `None` if there is none.
    pub(super) fn completes_at(&self) -> Option<Instant> {
        self.running.as_ref().map(|(_, at)| *at)
    }

    /// Applies the running order if its duration has passed. Returns whether it did.
    pub(super) fn complete_due(&mut self, now: Instant) -> bool {
        let Some((order, _)) = self.running.take_if(|(_, at)| *at <= now) else {
            return false;
        };
        match order.command {
            OrderCommand::SetRole { role, .. } => self.role = role,
            OrderCommand::LoadModel { model, version, .. } => {
                self.models.retain(|loaded| model_name(loaded) != &*model);
                self.models.push(format!("{model}@{version}").into());
            }
            OrderCommand::LoadAdapter { adapter, .. } => self.adapters.push(adapter),
            OrderCommand::AddUpstream { .. } | OrderCommand::RemoveUpstream { .. } => {}
        }
        self.applied.insert(order.order);
        self.completed = Some(order.order);
        true
    }

    pub(super) fn role(&self) -> EngineRole {
        self.role
    }

    /// Returns the loaded models and adapters.
    pub(super) fn models(&self) -> Vec<Box<str>> {
        self.models.iter().chain(&self.adapters).cloned().collect()
    }

    /// Returns whether `model`, with or without a version, is loaded. Without any loaded model, the
    /// engine serves every model.
    pub(super) fn serves(&self, model: &str) -> bool {
        let serves_any = self.models.is_empty();
        serves_any
            || self
                .models
                .iter()
                .any(|loaded| &**loaded == model || model_name(loaded) == model)
    }

    pub(super) fn state(&self) -> OrderState {
        OrderState {
            running: self.running.as_ref().map(|(order, _)| order.order),
            completed: self.completed,
            epoch: self.epoch,
            role: self.role,
        }
    }
}

/// Returns `model` without its version.
fn model_name(model: &str) -> &str {
    model.split_once('@').map_or(model, |(name, _)| name)
}
