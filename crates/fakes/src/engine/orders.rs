//! Orders to the engine: role changes and loads, one at a time.

use std::collections::HashSet;
use std::time::Duration;

use nutmegbay_core::ids::{Epoch, RecordId};
use nutmegbay_core::record::{EngineRole, OrderCommand};
use nutmegbay_proto::engine::{EngineOrder, OrderState};
use tokio::time::Instant;

use super::config::EngineConfig;

/// Order desk of one engine life.
#[derive(Debug)]
pub(super) struct Orders {
    checks_fencing: bool,
    role_change: Duration,
    load: Duration,
    role: EngineRole,
    models: Vec<Box<str>>,
    adapters: Vec<Box<str>>,
    epoch: Option<Epoch>,
    running: Option<(EngineOrder, Instant)>,
    completed: Option<RecordId>,
    applied: HashSet<RecordId>,
}

/// Why an order is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    Fenced,
    Busy,
    NotForEngines,
}

impl Orders {
    pub(super) fn new(cfg: &EngineConfig) -> Self {
        Self {
            checks_fencing: cfg.checks_fencing,
            role_change: Duration::from_millis(cfg.role_change_ms),
            load: Duration::from_millis(cfg.load_model_ms),
            role: cfg.role,
            models: cfg.models.clone(),
            adapters: Vec::new(),
            epoch: None,
            running: None,
            completed: None,
            applied: HashSet::new(),
        }
    }

    /// Takes an order. Returns whether it is new.
    pub(super) fn take(&mut self, order: EngineOrder, now: Instant) -> Result<bool, Refusal> {
        if self.checks_fencing && self.epoch.is_some_and(|epoch| order.epoch < epoch) {
            return Err(Refusal::Fenced);
        }
        let time = match order.command {
            OrderCommand::SetRole { .. } => self.role_change,
            OrderCommand::LoadModel { .. } | OrderCommand::LoadAdapter { .. } => self.load,
            OrderCommand::AddUpstream { .. } | OrderCommand::RemoveUpstream { .. } => {
                return Err(Refusal::NotForEngines);
            }
        };
        let running = self.running.as_ref().map(|(running, _)| running.order);
        if running == Some(order.order) || self.applied.contains(&order.order) {
            return Ok(false);
        }
        if running.is_some() {
            return Err(Refusal::Busy);
        }
        if self.checks_fencing {
            self.epoch = self.epoch.max(Some(order.epoch));
        }
        self.running = Some((order, now + time));
        Ok(true)
    }

    /// Time at which the running order is done.
    pub(super) fn done_at(&self) -> Option<Instant> {
        self.running.as_ref().map(|(_, at)| *at)
    }

    /// Completes the running order if its time has come. Returns whether it did.
    pub(super) fn complete(&mut self, now: Instant) -> bool {
        let Some((order, _)) = self.running.take_if(|(_, at)| *at <= now) else {
            return false;
        };
        match order.command {
            OrderCommand::SetRole { role, .. } => self.role = role,
            OrderCommand::LoadModel { model, version, .. } => {
                self.models.retain(|loaded| name_of(loaded) != &*model);
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

    /// Loaded models and adapters.
    pub(super) fn models(&self) -> Vec<Box<str>> {
        self.models.iter().chain(&self.adapters).cloned().collect()
    }

    /// Whether `model`, with or without a version, is loaded.
    pub(super) fn serves(&self, model: &str) -> bool {
        let any = self.models.is_empty();
        any || self
            .models
            .iter()
            .any(|loaded| &**loaded == model || name_of(loaded) == model)
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

fn name_of(model: &str) -> &str {
    model.split_once('@').map_or(model, |(name, _)| name)
}
