//! Request coalescing: identical requests of one account share one run.

use std::collections::HashMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::ids::Fingerprint;
use slotmap::SlotMap;

use crate::AccountKey;

/// Time for which a run continues without a caller. Impatient callers disconnect and repeat at
/// once, so the repeat arrives within the time of a connection setup.
const ABANDONED_GRACE: Duration = Duration::from_secs(2);

/// Age at which a run is announced to peers. Shorter runs end before their caller loses patience.
const ANNOUNCE_AFTER: Duration = Duration::from_millis(250);

/// Time for which a request is remembered after its last arrival. It covers the patience of callers
/// with long prompts, who repeat after 15 s. With 5 s their repeats counted as new demand, which
/// made the demand four times the true one.
const REQUEST_TTL: Duration = Duration::from_mins(1);

/// Time for which a peer's announcement is valid if it is not repeated.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(2);

slotmap::new_key_type! {
    /// Key of a shared run in a [`JoinTable`].
    pub struct SharedRunKey;
}

/// Runs in progress by account and fingerprint. `P` identifies a peer gateway.
#[derive(Debug)]
pub struct JoinTable<P> {
    runs: SlotMap<SharedRunKey, SharedRun>,
    own_runs: HashMap<(AccountKey, Fingerprint), SharedRunKey>,
    peer_runs: HashMap<(AccountKey, Fingerprint), (P, MonotonicTime)>,
    arrivals: HashMap<(AccountKey, Fingerprint), RequestArrivals>,
}

#[derive(Debug, Clone, Copy)]
struct RequestArrivals {
    first: MonotonicTime,
    last: MonotonicTime,
}

#[derive(Debug)]
struct SharedRun {
    id: (AccountKey, Fingerprint),
    started_at: MonotonicTime,
    callers: u32,
    last_left_at: MonotonicTime,
}

/// Outcome of entering a request. `P` identifies a peer gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Join<P> {
    /// The request is the first: the caller runs it and calls [`JoinTable::finish`] at its end.
    First(SharedRunKey),
    /// The request shares a run of this gateway.
    Joined(SharedRunKey),
    /// The request shares a run of a peer, to which it must be forwarded.
    AtPeer(P),
}

impl<P> Default for JoinTable<P> {
    fn default() -> Self {
        Self {
            runs: SlotMap::with_key(),
            own_runs: HashMap::new(),
            peer_runs: HashMap::new(),
            arrivals: HashMap::new(),
        }
    }
}

impl<P: Copy + PartialEq> JoinTable<P> {
    /// Records the arrival of a request and returns the time of its first arrival, which is `now`
    /// if it did not arrive within `REQUEST_TTL`.
    ///
    /// A repeat after a refusal keeps the deadline of the first arrival. With a new deadline,
    /// engines work for callers who have given up, and each repeat counts as new demand.
    pub fn record_arrival(
        &mut self,
        account: AccountKey,
        work: Fingerprint,
        now: MonotonicTime,
    ) -> MonotonicTime {
        let entry = self
            .arrivals
            .entry((account, work))
            .or_insert(RequestArrivals {
                first: now,
                last: now,
            });
        if now.since(entry.last) > REQUEST_TTL {
            entry.first = now;
        }
        entry.last = now;
        entry.first
    }

    /// Enters a request that a caller sent to this gateway.
    pub fn enter(&mut self, account: AccountKey, work: Fingerprint, now: MonotonicTime) -> Join<P> {
        let id = (account, work);
        if let Some(&key) = self.own_runs.get(&id) {
            self.runs[key].callers += 1;
            return Join::Joined(key);
        }
        match self.peer_runs.get(&id) {
            Some(&(peer, at)) if now.since(at) <= ANNOUNCEMENT_TTL => return Join::AtPeer(peer),
            _ => {}
        }
        self.start_run(id, now)
    }

    /// Enters a request that a peer forwarded. It is never forwarded again, so that two gateways
    /// with outdated announcements do not send it back and forth.
    pub fn enter_forwarded(
        &mut self,
        account: AccountKey,
        work: Fingerprint,
        now: MonotonicTime,
    ) -> Join<P> {
        let id = (account, work);
        if let Some(&key) = self.own_runs.get(&id) {
            self.runs[key].callers += 1;
            return Join::Joined(key);
        }
        self.start_run(id, now)
    }

    fn start_run(&mut self, id: (AccountKey, Fingerprint), now: MonotonicTime) -> Join<P> {
        let key = self.runs.insert(SharedRun {
            id,
            started_at: now,
            callers: 1,
            last_left_at: now,
        });
        self.own_runs.insert(id, key);
        Join::First(key)
    }

    /// Records that a caller disconnected. The run continues for a while, see
    /// [`Self::take_abandoned`].
    pub fn leave(&mut self, key: SharedRunKey, now: MonotonicTime) {
        if let Some(run) = self.runs.get_mut(key) {
            run.callers = run.callers.saturating_sub(1);
            run.last_left_at = now;
        }
    }

    /// Ends a run. Later requests start a new one.
    pub fn finish(&mut self, key: SharedRunKey) {
        if let Some(run) = self.runs.remove(key) {
            self.own_runs.remove(&run.id);
        }
    }

    /// Returns the number of callers that wait for a run.
    pub fn callers(&self, key: SharedRunKey) -> u32 {
        self.runs.get(key).map_or(0, |run| run.callers)
    }

    /// Removes and returns the runs that had no caller for longer than `ABANDONED_GRACE`. The
    /// caller cancels them.
    pub fn take_abandoned(&mut self, now: MonotonicTime) -> Vec<SharedRunKey> {
        let keys: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.callers == 0 && now.since(run.last_left_at) > ABANDONED_GRACE)
            .map(|(key, _)| key)
            .collect();
        for &key in &keys {
            self.finish(key);
        }
        self.arrivals
            .retain(|_, arrivals| now.since(arrivals.last) <= REQUEST_TTL);
        keys
    }

    /// Returns the runs to announce by gossip, with the time since their request first arrived.
    /// These are the runs old enough that a repeat may reach a peer.
    pub fn announcements(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (AccountKey, Fingerprint, Duration)> + '_ {
        self.runs
            .values()
            .filter(move |run| now.since(run.started_at) >= ANNOUNCE_AFTER)
            .map(move |run| {
                let first = self
                    .arrivals
                    .get(&run.id)
                    .map_or(run.started_at, |arrivals| arrivals.first);
                (run.id.0, run.id.1, now.since(first))
            })
    }

    /// Applies the announcements of a peer, which replace its earlier ones.
    pub fn apply_announcements(
        &mut self,
        peer: P,
        announced: impl IntoIterator<Item = (AccountKey, Fingerprint, Duration)>,
        now: MonotonicTime,
    ) {
        self.peer_runs
            .retain(|_, &mut (p, at)| p != peer && now.since(at) <= ANNOUNCEMENT_TTL);
        for (account, work, age) in announced {
            let id = (account, work);
            self.peer_runs.insert(id, (peer, now));
            let first = MonotonicTime(now.0.saturating_sub(age));
            let entry = self
                .arrivals
                .entry(id)
                .or_insert(RequestArrivals { first, last: now });
            entry.first = entry.first.min(first);
            entry.last = now;
        }
    }
}
