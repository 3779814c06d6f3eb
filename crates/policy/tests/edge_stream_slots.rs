//! Guards against urgent streams that wait for the end of another stream while slots are free
//! elsewhere.

use nutmegbay_policy::edge::stream_slots::SlotUse;

const SLOTS: u32 = 8;

/// All instances start at once and hear nothing of each other. Each begins two streams within a few
/// tens of milliseconds, on the first engine of a common order. Without a share of the slots, all of
/// them choose the same engine.
#[test]
fn started_at_once() {
    const INSTANCES: usize = 31;
    let mut streams = [[0_u32; 30]; INSTANCES];
    for _ in 0..2 {
        for (instance, own) in (0_u32..).zip(&mut streams) {
            let free = (0_u32..).zip(own.iter()).position(|(engine, own)| {
                let slot_use = SlotUse {
                    slots: SLOTS,
                    own: *own,
                    others: None,
                };
                let position = (instance * 7_919 + engine * 104_729) % 1_009;
                slot_use.has_free_slot(INSTANCES, f64::from(position) / 1_009.0)
            });
            own[free.expect("some engine has a slot for each instance")] += 1;
        }
    }
    let by_engine = (0..30).map(|engine| streams.iter().map(|own| own[engine]).sum::<u32>());
    let most = by_engine.max().unwrap_or_default();
    assert!(most <= SLOTS + 2, "{most} streams on one engine");
}

#[test]
fn known_streams() {
    let slot_use = |own, others| SlotUse {
        slots: SLOTS,
        own,
        others: Some(others),
    };
    assert!(slot_use(2, 3.0).has_free_slot(31, 0.0));
    assert!(!slot_use(2, 6.0).has_free_slot(31, 0.9));
    assert!(
        !slot_use(7, 0.0).has_free_slot(31, 0.9),
        "none is left for other instances"
    );
}

/// A stream was refused at an instance that had used up its share and heard nobody yet, while slots
/// were free.
#[test]
fn share_used_up() {
    let slot_use = |own, others| SlotUse {
        slots: SLOTS,
        own,
        others,
    };
    let used_up = slot_use(1, None);
    assert!(!used_up.has_free_slot(31, 0.1), "others are avoided first");
    assert!(used_up.may_have_free_slot());
    assert!(slot_use(1, Some(6.0)).may_have_free_slot());
    assert!(!slot_use(1, Some(7.0)).may_have_free_slot());
}

/// An engine with one slot, or none stated, must stay usable.
#[test]
fn single_slot() {
    let idle = |slots, others| SlotUse {
        slots,
        own: 0,
        others,
    };
    assert!(idle(1, Some(0.0)).has_free_slot(3, 0.0));
    assert!(idle(0, Some(0.0)).has_free_slot(3, 0.0));
    assert!(idle(1, None).has_free_slot(1, 0.0));
}
