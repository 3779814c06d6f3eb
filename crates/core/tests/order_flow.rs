//! Guards against an order that is sent without an accepted intent, one order with two identities,
//! and an order of a former holder that is never completed.

mod common;

use common::Log;
use common::host::Host;
use nutmegbay_core::ids::Incarnation;
use nutmegbay_core::node::{Effect, Event, NodeConfig};
use nutmegbay_core::orders::{OrderAnswer, SendOrder};
use nutmegbay_core::record::{EngineRole, OrderCommand};

fn host(name: &str, incarnation: u128) -> Host {
    let mut host = Host::new(NodeConfig::new(name, Incarnation(incarnation)));
    host.environment.seed = incarnation << 64;
    host
}

fn command(role: EngineRole) -> OrderCommand {
    let upstream = "e1".into();
    OrderCommand::SetRole { upstream, role }
}

fn sent_orders(effects: &[Effect]) -> Vec<SendOrder> {
    let order = |effect: &Effect| match effect {
        Effect::SendOrder(order) => Some(order.clone()),
        _ => None,
    };
    effects.iter().filter_map(order).collect()
}

#[test]
fn intent_first() {
    let mut log = Log::default();
    let mut gateway = host("g1", 1);
    gateway.run(&mut log, 5_000);
    gateway.send_event(Event::OrderRequested(command(EngineRole::Decode)));
    let before_write: Vec<Effect> = gateway.environment.effects.iter().cloned().collect();
    assert!(
        sent_orders(&before_write).is_empty(),
        "an order was sent before its intent was accepted"
    );
    let sent = sent_orders(&gateway.process_effects(&mut log));
    assert_eq!(sent.len(), 1);
    assert_eq!(log.replica.orders().outstanding()[0].order, sent[0].order);
    // An order for the engine is outstanding, so another one is dropped.
    gateway.send_event(Event::OrderRequested(command(EngineRole::Prefill)));
    assert!(sent_orders(&gateway.run(&mut log, 400)).is_empty());
    let applied = OrderAnswer::Applied("done".into());
    gateway.send_event(Event::OrderAnswered(sent[0].order, applied));
    gateway.process_effects(&mut log);
    assert!(log.replica.orders().outstanding().is_empty());
    assert!(log.replica.orders().finished().next().unwrap().applied);
}

#[test]
fn successor_finishes() {
    let mut log = Log::default();
    let mut first = host("g1", 1);
    first.run(&mut log, 5_000);
    first.send_event(Event::OrderRequested(command(EngineRole::Decode)));
    let sent = sent_orders(&first.process_effects(&mut log)).remove(0);
    // The first process stops before the answer. Another one takes over and repeats the order.
    let mut second = host("g2", 2);
    let effects = second.run(&mut log, 5_000);
    let repeated = sent_orders(&effects).remove(0);
    assert_eq!(
        repeated.order, sent.order,
        "the successor gave the order a new identity"
    );
    assert!(repeated.epoch > sent.epoch);
    second.send_event(Event::OrderAnswered(repeated.order, OrderAnswer::Unknown));
    let again = sent_orders(&second.run(&mut log, 2_000));
    assert!(again.iter().all(|order| order.order == sent.order));
    assert!(
        !again.is_empty(),
        "an order with unknown result was not repeated"
    );
    // The former holder resumes with the answer. It may neither complete nor send the order.
    first.environment.now = second.environment.now;
    first.send_event(Event::OrderAnswered(
        sent.order,
        OrderAnswer::Refused("old".into()),
    ));
    let effects = first.run(&mut log, 1_000);
    assert!(
        sent_orders(&effects).is_empty(),
        "a former holder sent an order"
    );
    assert_eq!(log.replica.orders().outstanding().len(), 1);
}

#[test]
fn without_lease() {
    let mut log = Log::default();
    let mut gateway = host("g1", 1);
    gateway.run(&mut log, 1_000);
    gateway.send_event(Event::OrderRequested(command(EngineRole::Decode)));
    let effects = gateway.run(&mut log, 5_000);
    assert!(
        sent_orders(&effects).is_empty(),
        "a command that was requested without the lease was sent later"
    );
}
