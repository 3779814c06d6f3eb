//! Identical requests of one account share one run.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::Fingerprint;
use slotmap::SlotMap;

use crate::AccountKey;

/// Time for which a run goes on without a caller. Impatient callers hang up and repeat at once, so
/// the repeat comes within a connection set-up.
const LINGER: Duration = Duration::from_secs(2);

/// Age at which a run is announced to peers. Shorter runs end before their caller loses patience.
const ANNOUNCE_AFTER: Duration = Duration::from_millis(250);

/// Time for which a request is remembered after it was seen last. It covers the patience of callers
/// with long prompts, who repeat after 15 s: with 5 s their repeats counted as new demand, four
/// times the true one.
const SEEN_FOR: Duration = Duration::from_mins(1);

/// Time for which a peer's announcement holds without being repeated.
const ANNOUNCED_FOR: Duration = Duration::from_secs(2);

slotmap::new_key_type! {
    /// Key of a run in a [`JoinTable`].
    pub struct FlightKey;
}

/// Runs in flight by account and fingerprint.
#[derive(Debug)]
pub struct JoinTable<P> {
    flights: SlotMap<FlightKey, Flight>,
    local: HashMap<(AccountKey, Fingerprint), FlightKey>,
    remote: HashMap<(AccountKey, Fingerprint), (P, MonotonicTime)>,
    seen: HashMap<(AccountKey, Fingerprint), Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    first: MonotonicTime,
    last: MonotonicTime,
}

#[derive(Debug)]
struct Flight {
    id: (AccountKey, Fingerprint),
    since: MonotonicTime,
    callers: u32,
    left: MonotonicTime,
}

/// How a request relates to runs in flight. `P` names a peer gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Join<P> {
    /// It is the first: run it and call [`JoinTable::finish`] at its end.
    First(FlightKey),
    /// It shares a run of this gateway.
    Joined(FlightKey),
    /// It shares a run of a peer, to which it is to be passed on.
    AtPeer(P),
}

impl<P> Default for JoinTable<P> {
    fn default() -> Self {
        Self {
            flights: SlotMap::with_key(),
            local: HashMap::new(),
            remote: HashMap::new(),
            seen: HashMap::new(),
        }
    }
}

impl<P: Copy + PartialEq> JoinTable<P> {
    /// Time at which a request was seen first, now if it was not seen lately.
    ///
    /// A repeat after a refusal keeps the deadline of the first sending: with a new one, work is
    /// done for callers who have given up, and each repeat counts as new demand.
    pub fn first_seen(
        &mut self,
        account: AccountKey,
        work: Fingerprint,
        now: MonotonicTime,
    ) -> MonotonicTime {
        let entry = self.seen.entry((account, work)).or_insert(Seen {
            first: now,
            last: now,
        });
        if now.since(entry.last) > SEEN_FOR {
            entry.first = now;
        }
        entry.last = now;
        entry.first
    }

    /// Enters a request.
    pub fn enter(&mut self, account: AccountKey, work: Fingerprint, now: MonotonicTime) -> Join<P> {
        let id = (account, work);
        if let Some(&key) = self.local.get(&id) {
            self.flights[key].callers += 1;
            return Join::Joined(key);
        }
        match self.remote.get(&id) {
            Some(&(peer, seen)) if now.since(seen) <= ANNOUNCED_FOR => return Join::AtPeer(peer),
            _ => {}
        }
        self.open(id, now)
    }

    /// Enters a request that a peer passed on; it is never passed on again, so that two gateways
    /// with outdated announcements do not send it back and forth.
    pub fn enter_passed(
        &mut self,
        account: AccountKey,
        work: Fingerprint,
        now: MonotonicTime,
    ) -> Join<P> {
        let id = (account, work);
        if let Some(&key) = self.local.get(&id) {
            self.flights[key].callers += 1;
            return Join::Joined(key);
        }
        self.open(id, now)
    }

    fn open(&mut self, id: (AccountKey, Fingerprint), now: MonotonicTime) -> Join<P> {
        let key = self.flights.insert(Flight {
            id,
            since: now,
            callers: 1,
            left: now,
        });
        self.local.insert(id, key);
        Join::First(key)
    }

    /// Notes that a caller hung up. The run goes on for a while, see [`Self::abandoned`].
    pub fn leave(&mut self, key: FlightKey, now: MonotonicTime) {
        if let Some(flight) = self.flights.get_mut(key) {
            flight.callers = flight.callers.saturating_sub(1);
            flight.left = now;
        }
    }

    /// Ends a run; later requests start a new one.
    pub fn finish(&mut self, key: FlightKey) {
        if let Some(flight) = self.flights.remove(key) {
            self.local.remove(&flight.id);
        }
    }

    /// Callers that wait for a run.
    pub fn callers(&self, key: FlightKey) -> u32 {
        self.flights.get(key).map_or(0, |flight| flight.callers)
    }

    /// Removes and returns the runs whose last caller left too long ago; they are to be cancelled.
    pub fn abandoned(&mut self, now: MonotonicTime) -> Vec<FlightKey> {
        let keys: Vec<_> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.callers == 0 && now.since(flight.left) > LINGER)
            .map(|(key, _)| key)
            .collect();
        for &key in &keys {
            self.finish(key);
        }
        self.seen.retain(|_, seen| now.since(seen.last) <= SEEN_FOR);
        keys
    }

    /// Runs to name in gossip: those long enough in flight that a repeat may reach a peer, with the
    /// time since they were first seen.
    pub fn announcements(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (AccountKey, Fingerprint, Duration)> + '_ {
        self.flights
            .values()
            .filter(move |flight| now.since(flight.since) >= ANNOUNCE_AFTER)
            .map(move |flight| {
                let first = self
                    .seen
                    .get(&flight.id)
                    .map_or(flight.since, |seen| seen.first);
                (flight.id.0, flight.id.1, now.since(first))
            })
    }

    /// Takes the announcements of a peer, which replace its earlier ones.
    pub fn announced(
        &mut self,
        peer: P,
        runs: impl IntoIterator<Item = (AccountKey, Fingerprint, Duration)>,
        now: MonotonicTime,
    ) {
        self.remote
            .retain(|_, &mut (p, seen)| p != peer && now.since(seen) <= ANNOUNCED_FOR);
        for (account, work, age) in runs {
            let id = (account, work);
            self.remote.insert(id, (peer, now));
            let first = MonotonicTime(now.0.saturating_sub(age));
            let entry = self.seen.entry(id).or_insert(Seen { first, last: now });
            entry.first = entry.first.min(first);
            entry.last = now;
        }
    }
}
