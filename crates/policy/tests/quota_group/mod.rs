//! A group of instances that share the quota of one account, on the paused clock.
#![allow(dead_code, reason = "each test file uses a subset")]

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::quota::{
    Ask, Asker, Contact, ContactReport, Quota, QuotaBounds, QuotaMembers, QuotaOwner, QuotaPlan,
    Round, Step,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const ACCOUNT: u64 = 77;

pub const QUOTA: Quota = Quota {
    per_s: 50_000.0,
    burst: 50_000.0,
};

pub const LOWER: Quota = Quota {
    per_s: 8_000.0,
    burst: 20_000.0,
};

pub const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    excess: 0.1,
    slack: 20_000.0,
};

/// Cost of a request: a large part of what a second allows.
pub const COST: f64 = 9_000.0;

/// Time between two updates of what an instance knows, in milliseconds.
pub const UPDATE_MS: u64 = 100;

/// Time between two reads of the records, in milliseconds.
pub const READ_MS: u64 = 8_000;

/// Age of a record from which its instance counts as failed, in milliseconds.
pub const MEMBER_TTL_MS: u64 = 20_000;

pub fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// One instance and what it knows.
pub struct Instance {
    pub owner: QuotaOwner,
    pub asker: Asker,
    pub members: QuotaMembers,
    pub contact: Contact,
    pub started_ms: u64,
    pub record_ms: u64,
    /// Records of the others, as last read.
    pub read_ms: Vec<u64>,
    /// Last announcements of the others.
    pub heard_ms: Vec<Option<u64>>,
    /// First and last announcement.
    pub announced_ms: Option<(u64, u64)>,
    pub has_store: bool,
    /// Instances of different sides do not hear each other.
    pub side: usize,
    pub frozen_until_ms: u64,
}

pub enum Event {
    Spend {
        from: usize,
        started_ms: u64,
        tokens: f64,
    },
    GiveBack {
        to: usize,
        id: u64,
    },
}

/// Instances that share one quota.
pub struct Group {
    pub instances: Vec<Instance>,
    pub plan: QuotaPlan,
    pub now_ms: u64,
    pub rng: ChaCha8Rng,
    /// Fraction of messages that are lost.
    pub loss: f64,
    pub events: Vec<(u64, Event)>,
    pub spent: Vec<(u64, f64)>,
}

impl Group {
    pub fn new(count: usize, quota: Quota) -> Self {
        let plan = QuotaPlan::new(quota, BOUNDS);
        let mut group = Self {
            instances: Vec::new(),
            plan,
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(5),
            loss: 0.0,
            events: Vec::new(),
            spent: Vec::new(),
        };
        for _ in 0..count {
            let instance = group.start(group.instances.len(), count);
            group.instances.push(instance);
        }
        for instance in &mut group.instances {
            instance.read_ms = vec![0; count];
        }
        group.advance(3_000);
        group
    }

    pub fn start(&self, n: usize, count: usize) -> Instance {
        Instance {
            owner: QuotaOwner::default(),
            asker: Asker::new(self.plan, at(self.now_ms)),
            members: QuotaMembers::new(n as u64),
            contact: Contact::default(),
            started_ms: self.now_ms,
            record_ms: self.now_ms,
            read_ms: self.instances.iter().map(|other| other.record_ms).collect(),
            heard_ms: vec![None; count],
            announced_ms: None,
            has_store: true,
            side: 0,
            frozen_until_ms: 0,
        }
    }

    pub fn kill(&mut self, n: usize) {
        let mut instance = self.start(n, self.instances.len());
        instance.side = self.instances[n].side;
        self.instances[n] = instance;
    }

    pub fn set_quota(&mut self, quota: Quota) {
        self.plan = QuotaPlan::new(quota, BOUNDS);
        for n in 0..self.instances.len() {
            let now = at(self.now_ms);
            self.instances[n].asker.set_plan(self.plan, now);
            self.share(n);
        }
    }

    pub fn is_awake(&self, n: usize) -> bool {
        self.now_ms >= self.instances[n].frozen_until_ms
    }

    pub fn is_reached(&mut self, from: usize, to: usize) -> bool {
        let is_connected = self.instances[from].side == self.instances[to].side;
        is_connected && self.is_awake(to) && self.rng.random::<f64>() >= self.loss
    }

    /// Lets `ms` milliseconds pass.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            if self.now_ms.is_multiple_of(UPDATE_MS) {
                (0..self.instances.len()).for_each(|n| self.update(n));
            }
            let now_ms = self.now_ms;
            for (_, event) in self.events.extract_if(.., |(at_ms, _)| *at_ms <= now_ms) {
                match event {
                    Event::Spend {
                        from,
                        started_ms,
                        tokens,
                    } => {
                        if self.instances[from].started_ms == started_ms {
                            self.spent.push((now_ms, tokens));
                        }
                    }
                    Event::GiveBack { to, id } => {
                        self.instances[to].owner.give_back(ACCOUNT, id, at(now_ms));
                    }
                }
            }
        }
    }

    pub fn update(&mut self, n: usize) {
        if !self.is_awake(n) {
            return;
        }
        self.announce(n);
        let records: Vec<u64> = self.instances.iter().map(|other| other.record_ms).collect();
        let is_near = |other: usize| self.instances[other].side == self.instances[n].side;
        let heard = (0..records.len()).filter(|other| is_near(*other) && self.is_awake(*other));
        let heard = heard.count() - 1;
        let (now_ms, now) = (self.now_ms, at(self.now_ms));
        let instance = &mut self.instances[n];
        if instance.has_store {
            instance.record_ms = now_ms;
            if (now_ms / UPDATE_MS + n as u64 * 37).is_multiple_of(READ_MS / UPDATE_MS) {
                instance.read_ms = records;
            }
        }
        let is_recent = |ms: u64| now_ms - ms < MEMBER_TTL_MS;
        let known = (0..).zip(instance.read_ms.iter().zip(&instance.heard_ms));
        let alive =
            known.filter(|(_, (read, heard))| is_recent(**read) || heard.is_some_and(is_recent));
        let others: Vec<u64> = alive.map(|(other, _)| other).collect();
        let announced = instance.announced_ms.map(|(first, _)| now_ms - first);
        let announced_for = announced.map(Duration::from_millis);
        let report = ContactReport {
            announced_for,
            has_joined: announced_for >= Some(Duration::from_secs(2)),
            record_age: Duration::from_millis(now_ms - instance.record_ms),
            is_current: instance.has_store,
            heard,
            known: instance
                .members
                .other_count()
                .max(others.len().saturating_sub(1)),
        };
        if instance.contact.update(report, now) {
            instance.announced_ms = None;
        }
        let is_complete = instance.contact.may_take_over(now);
        instance.members.update(others, is_complete);
        let gains = instance.contact.has_joined();
        instance.owner.set_gaining(gains, now);
        self.share(n);
    }

    /// Announces an instance that has just started, or whose record is old.
    pub fn announce(&mut self, n: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[n];
        let side = instance.side;
        let (first, last) = instance.announced_ms.unwrap_or((now_ms, 0));
        let interval = if now_ms - first < 2_000 { 500 } else { 6_500 };
        let is_old = now_ms - first < 2_000 || now_ms - instance.record_ms >= 6_500;
        if !is_old || now_ms - last < interval {
            return;
        }
        instance.announced_ms = Some((first, now_ms));
        for other in &mut self.instances {
            if other.side == side && now_ms >= other.frozen_until_ms {
                other.heard_ms[n] = Some(now_ms);
            }
        }
    }

    pub fn share(&mut self, n: usize) {
        let now = at(self.now_ms);
        let instance = &mut self.instances[n];
        let owners = instance.members.owners(ACCOUNT);
        let owners = owners.as_slice();
        let count = instance.members.other_count() + 1;
        let has_met_others = instance.contact.has_met_others();
        instance
            .asker
            .set_owners(owners, count, has_met_others, now);
        let own = owners.contains(&(n as u64));
        let owned = own.then_some((ACCOUNT, self.plan, owners.len()));
        instance.owner.set_accounts(owned.into_iter(), now);
    }

    /// Plays a request at an instance. Its tokens are spent after `delay_ms`, or given back then.
    pub fn request(&mut self, n: usize, cost: f64, delay_ms: u64, runs: bool) -> bool {
        let now = at(self.now_ms);
        let mut round = Round::new(cost, false, Duration::from_millis(60), now);
        let mut grants = Vec::new();
        let is_granted = loop {
            let step = self.instances[n].asker.next(&mut round, now);
            let Step::Ask {
                owner,
                tokens,
                keep,
                is_partial,
                refused,
                ..
            } = step
            else {
                break step == Step::Granted;
            };
            let ask = Ask {
                id: self.rng.random(),
                tokens,
                keep,
                is_partial,
                refused,
            };
            let to = usize::try_from(owner).unwrap();
            let arrives = to == n || self.is_reached(n, to);
            let grant = arrives.then(|| self.instances[to].owner.grant(ACCOUNT, ask, now));
            let returns = to == n || self.is_reached(to, n);
            let asker = &mut self.instances[n].asker;
            match grant.filter(|_| returns) {
                Some(grant) => {
                    asker.record_answer(&mut round, owner, grant, now);
                    grants.push((to, ask.id));
                }
                None => asker.record_silence(owner, now),
            }
        };
        let started_ms = self.instances[n].started_ms;
        let is_valid = u128::from(delay_ms) < self.plan.life.as_millis();
        if is_granted && runs && is_valid {
            let event = Event::Spend {
                from: n,
                started_ms,
                tokens: cost,
            };
            self.events.push((self.now_ms + delay_ms, event));
        } else if is_valid {
            for (to, id) in grants {
                if self.is_reached(n, to) {
                    let event = Event::GiveBack { to, id };
                    self.events.push((self.now_ms + delay_ms + 2, event));
                }
            }
        }
        is_granted
    }

    /// Sends `factor` times the quota for `ms` milliseconds through random instances.
    pub fn overload(&mut self, factor: f64, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            let awake: Vec<_> = (0..self.instances.len())
                .filter(|n| self.is_awake(*n))
                .collect();
            let n = awake[self.rng.random_range(0..awake.len())];
            let longest_ms = if self.rng.random() { 40 } else { 600 };
            let delay_ms = self.rng.random_range(0..longest_ms);
            let runs = self.rng.random::<f64>() < 0.7;
            self.request(n, COST, delay_ms, runs);
            let pause_ms = COST / (QUOTA.per_s * factor) * 1e3;
            self.advance(pause_ms.max(1.0).round() as u64);
        }
    }

    /// Returns the most that was spent in a window that begins at `from_ms` or later, as a fraction
    /// of what `quota` allows.
    pub fn most_spent(&self, quota: Quota, from_ms: u64) -> f64 {
        let window_ms = u64::try_from(BOUNDS.window.as_millis()).unwrap();
        let stated = quota.per_s * BOUNDS.window.as_secs_f64() + quota.burst;
        let allowed = stated * (1.0 + BOUNDS.excess) + BOUNDS.slack;
        let in_window = |first: u64| {
            let window = first..first + window_ms;
            let spent = self.spent.iter().filter(|(ms, _)| window.contains(ms));
            spent.map(|(_, tokens)| tokens).sum::<f64>() / allowed
        };
        let firsts = self.spent.iter().map(|(ms, _)| *ms);
        let firsts = firsts.filter(|ms| *ms >= from_ms);
        firsts.map(in_window).fold(0.0, f64::max)
    }

    /// Lowers the quota in the middle of a fault, and checks the sums before and after.
    pub fn check_lowered(mut self) {
        self.overload(8.0, 2_000);
        let before = self.most_spent(QUOTA, 0);
        assert!(before <= 1.0, "{before} of what is allowed");
        self.set_quota(LOWER);
        let lowered_ms = self.now_ms;
        self.overload(8.0, 12_000);
        let after = self.most_spent(LOWER, lowered_ms + self.plan.life.as_millis() as u64);
        assert!(after <= 1.0, "{after} of the lower quota");
    }
}
