//! Decides which owners an instance asks for the tokens of a request, and when it is refused.
//!
//! Load pattern: an account sends eight times its quota. A refusal is remembered for some tens of
//! milliseconds, so that refused requests cost no messages. Below its quota, an account is refused
//! only if its owners together lack the tokens: a request whose cost no owner holds alone gets parts
//! from several.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

use super::{Bucket, Grant, QuotaPlan};

/// Maximum number of owners of an account. The loss of one leaves two thirds of the quota.
pub const MAX_OWNERS: usize = 3;

/// Time for which an owner that did not answer is not asked.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// Time for which an instance is not asked that answered that it does not own the account. It may
/// be about to.
const NO_OWNER_TIME: Duration = Duration::from_millis(100);

/// Time after which an owner is expected to answer if none does, in seconds: most were just started.
const NO_ANSWER_RETRY_S: f64 = 0.8;

/// Minimum time for which a refusal is remembered.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(30);

/// Time for which a refusal is remembered, per running instance. It bounds the asks that refused
/// requests cause at all instances together.
const REFUSAL_TIME_PER_INSTANCE: Duration = Duration::from_micros(1_500);

/// Maximum time for which a refusal is remembered, a part of the time in which buckets fill.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Maximum wait that a refusal states, in seconds. Callers wait for at most a part of their time.
pub const MAX_RETRY_S: f64 = 4.0;

/// Fraction of what an owner can hold at which requests of any cost are granted.
const MAX_KEPT_FRACTION: f64 = 0.1;

/// Multiple of its cost that a request leaves for others, if that is less than the fraction.
const KEPT_FACTOR: f64 = 4.0;

/// Decisions of one instance on the requests of one account.
#[derive(Debug)]
pub struct Asker {
    plan: QuotaPlan,
    owners: Vec<Owner>,
    /// Number of instances that run.
    instances: usize,
    has_met_others: bool,
    refusal: Option<Refusal>,
    /// Tokens that this instance may spend while no owner answers.
    alone: Bucket,
    started_at: MonotonicTime,
    answered_at: Option<MonotonicTime>,
}

#[derive(Debug, Clone, Copy)]
struct Owner {
    key: u64,
    /// Tokens that it had left when it last answered. `None` if it has not answered yet.
    left: Option<(f64, MonotonicTime)>,
    silent_until: MonotonicTime,
    /// Its part of the tokens that were refused without asking it.
    refused: f64,
}

#[derive(Debug, Clone, Copy)]
struct Refusal {
    tokens: f64,
    until: MonotonicTime,
    retry_at: MonotonicTime,
}

/// Search for the tokens of one request.
#[derive(Debug, Clone)]
pub struct Round {
    cost: f64,
    is_late: bool,
    granted: f64,
    began: MonotonicTime,
    max_wait: Duration,
    /// Owners that were asked for all that is missing.
    asked: Vec<u64>,
    /// Owners that were asked for a part.
    asked_for_part: Vec<u64>,
    /// Owners that answered, with what they have left.
    answers: Vec<(u64, f64)>,
    retry_s: f64,
}

/// Next step of a round.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// An owner must be asked.
    Ask {
        /// Owner.
        owner: u64,
        /// Tokens that are missing.
        tokens: f64,
        /// Tokens that the owner keeps for others.
        keep: f64,
        /// Whether fewer tokens are useful too.
        is_partial: bool,
        /// The owner's part of the tokens that were refused since it was last asked.
        refused: f64,
        /// Maximum wait for the answer.
        max_wait: Duration,
    },
    /// The request has its tokens.
    Granted,
    /// The quota does not allow the request now.
    Refused {
        /// Time after which the tokens are expected. `None` if the cost is more than the quota ever
        /// allows at once.
        retry: Option<Duration>,
    },
}

impl Round {
    /// Begins the search for the tokens of a request, which takes `max_wait` at most. `is_late`
    /// states that its result cannot be on time any more.
    pub fn new(cost: f64, is_late: bool, max_wait: Duration, now: MonotonicTime) -> Self {
        Self {
            cost,
            is_late,
            granted: 0.0,
            began: now,
            max_wait,
            asked: Vec::new(),
            asked_for_part: Vec::new(),
            answers: Vec::new(),
            retry_s: f64::MAX,
        }
    }
}

impl Asker {
    /// Creates the decisions for an account.
    pub fn new(plan: QuotaPlan, now: MonotonicTime) -> Self {
        Self {
            plan,
            owners: Vec::new(),
            instances: 1,
            has_met_others: false,
            refusal: None,
            alone: Bucket::new(0.0, 0.0, 0.0),
            started_at: now,
            answered_at: None,
        }
    }

    /// Sets the plan.
    pub fn set_plan(&mut self, plan: QuotaPlan, now: MonotonicTime) {
        if plan != self.plan {
            self.plan = plan;
            self.refusal = None;
            self.update_alone(now);
        }
    }

    /// Sets the owners, the number of instances that run, and whether this one has met the others
    /// since its start. Before that, it does not know their number and spends nothing alone.
    pub fn set_owners(
        &mut self,
        owners: &[u64],
        instances: usize,
        has_met_others: bool,
        now: MonotonicTime,
    ) {
        self.instances = instances.max(1);
        self.has_met_others = has_met_others;
        let known = std::mem::take(&mut self.owners);
        let owner = |key: &u64| {
            let known = known.iter().find(|known| known.key == *key);
            known.copied().unwrap_or(Owner {
                key: *key,
                left: None,
                silent_until: MonotonicTime::default(),
                refused: 0.0,
            })
        };
        self.owners = owners.iter().map(owner).collect();
        self.update_alone(now);
    }

    fn update_alone(&mut self, now: MonotonicTime) {
        let share = if self.has_met_others {
            1.0 / self.instances as f64
        } else {
            0.0
        };
        self.alone.set_terms(
            self.plan.alone_per_s * share,
            self.plan.alone_depth * share,
            now.since(self.started_at).as_secs_f64(),
        );
    }

    /// Returns the plan.
    pub fn plan(&self) -> &QuotaPlan {
        &self.plan
    }

    /// Returns the time since an owner last answered.
    pub fn answer_age(&self, now: MonotonicTime) -> Duration {
        now.since(self.answered_at.unwrap_or(self.started_at))
    }

    /// Returns the next step of a round.
    pub fn next(&mut self, round: &mut Round, now: MonotonicTime) -> Step {
        let missing = round.cost - round.granted;
        if missing <= 0.0 {
            return Step::Granted;
        }
        if round.cost > self.plan.depth {
            return Step::Refused { retry: None };
        }
        match self.refusal {
            Some(refusal) if round.asked.is_empty() && refusal.covers(round.cost, now) => {
                let part = round.cost / self.owners.len().max(1) as f64;
                for owner in &mut self.owners {
                    owner.refused += part;
                }
                return Step::Refused {
                    retry: Some(refusal.retry_at.since(now)),
                };
            }
            _ => {}
        }
        let time_left = round.max_wait.saturating_sub(now.since(round.began));
        let next = match (self.next_whole(round, now), self.next_partial(round)) {
            _ if time_left.is_zero() => None,
            (Some(owner), _) => Some((owner, false)),
            (None, Some(owner)) => Some((owner, true)),
            (None, None) => None,
        };
        let Some((owner, is_partial)) = next else {
            return self.end(round, now);
        };
        let asked = if is_partial {
            &mut round.asked_for_part
        } else {
            &mut round.asked
        };
        asked.push(owner);
        let known = self.owners.iter_mut().find(|known| known.key == owner);
        let refused = known.map_or(0.0, |known| std::mem::take(&mut known.refused));
        Step::Ask {
            owner,
            tokens: missing,
            keep: self.keep(round),
            is_partial: is_partial || !self.holds_alone(round),
            refused,
            max_wait: time_left.min(round.max_wait / 2),
        }
    }

    /// Records the answer of an owner.
    pub fn record_answer(
        &mut self,
        round: &mut Round,
        owner: u64,
        grant: Grant,
        now: MonotonicTime,
    ) {
        if !grant.is_owner {
            // It has just started, or is cut off. Nothing is known of the tokens.
            self.skip(owner, now.plus(NO_OWNER_TIME));
            return;
        }
        self.answered_at = Some(now);
        let missing = round.cost - round.granted;
        // `max` and `min` ignore what is not a number.
        round.granted += grant.tokens.max(0.0).min(missing);
        round.answers.retain(|(answered, _)| *answered != owner);
        round.answers.push((owner, grant.left.max(0.0)));
        if grant.retry_s > 0.0 {
            round.retry_s = round.retry_s.min(grant.retry_s);
        }
        if let Some(owner) = self.owners.iter_mut().find(|known| known.key == owner) {
            owner.left = Some((grant.left, now));
            owner.silent_until = MonotonicTime::default();
        }
    }

    /// Records that an owner did not answer in time.
    pub fn record_silence(&mut self, owner: u64, now: MonotonicTime) {
        self.skip(owner, now.plus(SILENT_TIME));
    }

    fn skip(&mut self, owner: u64, until: MonotonicTime) {
        if let Some(owner) = self.owners.iter_mut().find(|known| known.key == owner) {
            owner.silent_until = until;
        }
    }

    /// Returns the owner that is expected to have the most tokens, among those that were not asked
    /// in this round.
    fn next_whole(&self, round: &Round, now: MonotonicTime) -> Option<u64> {
        let (per_s, depth) = self.plan.part(self.owners.len());
        let expected = |owner: &Owner| match owner.left {
            Some((left, at)) => (left + now.since(at).as_secs_f64() * per_s).min(depth),
            None => depth,
        };
        let candidates = self
            .owners
            .iter()
            .filter(|owner| !round.asked.contains(&owner.key) && now >= owner.silent_until);
        let most = candidates.max_by(|a, b| expected(a).total_cmp(&expected(b)));
        most.map(|owner| owner.key)
    }

    /// Returns the next owner to be asked for a part, if the owners together had enough when they
    /// answered.
    fn next_partial(&self, round: &Round) -> Option<u64> {
        if !self.holds_alone(round) {
            return None;
        }
        let keep = self.keep(round);
        let left = round.answers.iter().map(|(_, left)| (left - keep).max(0.0));
        let left: f64 = left.sum();
        if round.granted + left < round.cost {
            return None;
        }
        let candidates = round
            .answers
            .iter()
            .filter(|(owner, _)| !round.asked_for_part.contains(owner));
        let most = candidates.max_by(|(_, a), (_, b)| a.total_cmp(b));
        most.map(|(owner, _)| *owner)
    }

    /// Returns whether an owner can ever hold the tokens of a request alone.
    fn holds_alone(&self, round: &Round) -> bool {
        self.plan.part(self.owners.len()).1 >= round.cost + self.keep(round)
    }

    /// Returns the tokens that a request leaves at each owner. It needs an owner with several times
    /// its cost or with a fraction of the depth: so what costs little is not refused for what costs
    /// much, and large requests have the same chances. One that is late already leaves as much again
    /// to those that can be on time. It is less where requests take a large part of the quota.
    fn keep(&self, round: &Round) -> f64 {
        let (_, depth) = self.plan.part(self.owners.len());
        let most = depth * MAX_KEPT_FRACTION;
        let kept = (round.cost * KEPT_FACTOR).min(most - round.cost).max(0.0);
        let kept_if_late = if round.is_late {
            (round.cost * KEPT_FACTOR).min(most)
        } else {
            0.0
        };
        let rest = (self.plan.depth - round.cost) / self.owners.len().max(1) as f64;
        (kept + kept_if_late).min(rest).max(0.0)
    }

    /// Decides on a request for which all owners were asked.
    fn end(&mut self, round: &Round, now: MonotonicTime) -> Step {
        if round.answers.is_empty() {
            self.alone.gain(now.since(self.started_at).as_secs_f64());
            if self.alone.try_take(round.cost) {
                return Step::Granted;
            }
        }
        let retry_s = match round.retry_s {
            f64::MAX => NO_ANSWER_RETRY_S,
            retry_s => retry_s,
        };
        let retry = Duration::from_secs_f64(retry_s.clamp(0.0, MAX_RETRY_S));
        let instances = u32::try_from(self.instances).unwrap_or(u32::MAX);
        let remembered = REFUSAL_TIME_PER_INSTANCE
            .saturating_mul(instances)
            .clamp(MIN_REFUSAL_TIME, MAX_REFUSAL_TIME);
        self.refusal = Some(Refusal {
            tokens: round.cost,
            until: now.plus(remembered),
            retry_at: now.plus(retry),
        });
        Step::Refused { retry: Some(retry) }
    }
}

impl Refusal {
    fn covers(&self, cost: f64, now: MonotonicTime) -> bool {
        cost >= self.tokens && now < self.until
    }
}
