//! Orders to engines to change their role, sent by the holder of the duties.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use http::header::HOST;
use nutmegbay_core::world::Moment;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::placement::Part;
use nutmegbay_policy::edge::roles::{Demand, RolePlan};

use crate::http1::Caller;
use crate::members::{MemberDemand, MemberRecord};
use crate::model::{EngineRole, OrderReply, RoleOrder};
use crate::port::Dialect;
use crate::site::Site;

/// Time between two looks at the demand. Processes write theirs once a second.
const LOOK_EVERY: Duration = Duration::from_millis(950);

/// Longest wait for an engine's answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Least time between two records of a process from which a rate is taken, in milliseconds.
const LEAST_SPAN_MS: u64 = 500;

/// Time beyond the change itself for which an engine counts as changing: until the list of
/// instances shows its new role.
const CHANGE_MARGIN: Duration = Duration::from_secs(2);

/// Time for which an order without an answer may still be carried out.
const LATE_ORDER: Duration = Duration::from_secs(12);

/// Plans of all services and what the processes asked for when it was last looked at.
#[derive(Default)]
pub struct Roles {
    plans: HashMap<Box<str>, RolePlan>,
    asked: HashMap<(Box<str>, Box<str>), MemberDemand>,
    looked: Option<Moment>,
}

/// An order that is due.
pub struct Order {
    at: UpstreamKey,
    part: Part,
    change: Duration,
}

impl Roles {
    /// Whether it is time for another look; if so, it counts from now.
    pub fn is_look_due(&mut self, now: Moment) -> bool {
        let is_due = self.looked.is_none_or(|at| now.since(at) >= LOOK_EVERY);
        if is_due {
            self.looked = Some(now);
        }
        is_due
    }

    /// Order that is due by the demand in `records`.
    pub fn next<D: Dialect>(
        &mut self,
        site: &Site<D>,
        records: &BTreeMap<Box<str>, MemberRecord>,
    ) -> Option<Order> {
        let now = site.now();
        let table = site.routes.borrow().clone()?;
        for service in table.config().services.values() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let demand = self.demand(&service.name, records);
            let members = site.fleet.borrow().role_members(&service.name, now);
            let plan = self.plans.entry(service.name.clone()).or_default();
            if let Some((at, part)) = plan.next(now, demand, engine.slots, &members) {
                plan.ordered(now, part);
                tracing::info!(
                    event = "role_planned",
                    service = %service.name,
                    read_ms_per_s = demand.read_ms_per_s.round(),
                    streams = demand.streams,
                    prefill = members.iter().filter(|m| m.part == Part::Prefill).count(),
                    engines = members.len(),
                    part = ?part,
                );
                let change = engine.role_change;
                return Some(Order { at, part, change });
            }
        }
        None
    }

    /// Demand of all processes for a service, from what each asked for since the last look.
    fn demand(&mut self, service: &str, records: &BTreeMap<Box<str>, MemberRecord>) -> Demand {
        let mut demand = Demand::default();
        for (member, record) in records {
            let Some(present) = record.demand.get(service) else {
                continue;
            };
            let key = (member.clone(), service.into());
            let before = self.asked.get(&key).copied();
            demand.streams += present.streams as f64;
            let span_ms = before.map_or(0, |before| present.at_ms.saturating_sub(before.at_ms));
            if let Some(before) = before.filter(|_| span_ms >= LEAST_SPAN_MS) {
                let ms = present.asked_ms.saturating_sub(before.asked_ms) as f64;
                demand.read_ms_per_s += ms * 1e3 / span_ms as f64;
            }
            // A process that started anew counts from zero.
            let is_restarted = before.is_some_and(|before| present.at_ms < before.at_ms);
            if before.is_none() || span_ms >= LEAST_SPAN_MS || is_restarted {
                self.asked.insert(key, *present);
            }
        }
        demand
    }
}

/// Sends an order; none where no answer came. The engine is asked for its state first, so that an
/// order that is carried out late is refused by its count of orders.
pub async fn send<D: Dialect>(site: &Site<D>, order: &Order, fencing: u64) -> Option<OrderReply> {
    let (instance, addr) = {
        let fleet = site.fleet.borrow();
        let upstream = fleet.get(order.at)?;
        (upstream.id.clone(), upstream.report.addr)
    };
    let role = match order.part {
        Part::Prefill => EngineRole::Prefill,
        Part::Decode => EngineRole::Decode,
    };
    let caller = Caller::new(addr);
    let host = caller.host().parse().ok()?;
    let mut req = site.dialect.report_call(&instance);
    req.headers_mut().insert(HOST, host);
    let state = match caller.call(req, ORDER_TIMEOUT).await {
        Ok((_, body)) => site.dialect.report(&body),
        Err(_) => None,
    };
    let Some(state) = state.filter(|state| !state.is_busy && state.role != role) else {
        tracing::info!(event = "role_not_ordered", upstream = %instance, role = %role, ?state);
        hold(site, order.at, CHANGE_MARGIN);
        return None;
    };
    let mut req = site.dialect.role_order(&RoleOrder {
        instance: &instance,
        role,
        holder: &site.settings().node,
        fencing,
        expected: state.orders,
    });
    let host = caller.host().parse().ok()?;
    req.headers_mut().insert(HOST, host);
    let reply = caller.call(req, ORDER_TIMEOUT).await;
    let answer = reply
        .as_ref()
        .ok()
        .map(|(status, _)| site.dialect.order_reply(*status));
    hold(
        site,
        order.at,
        match answer {
            Some(OrderReply::Accepted) => order.change + CHANGE_MARGIN,
            Some(_) => CHANGE_MARGIN,
            None => LATE_ORDER,
        },
    );
    tracing::info!(
        event = "role_ordered",
        upstream = %instance,
        role = %role,
        fencing,
        expected = state.orders,
        answer = answer.map_or("none", <&str>::from),
        error = reply.err().map(|error| error.to_string()),
    );
    answer
}

/// Counts an engine as changing for some time.
fn hold<D: Dialect>(site: &Site<D>, at: UpstreamKey, time: Duration) {
    let until = site.now().plus(time);
    site.fleet.borrow_mut().changing(at, until);
}
