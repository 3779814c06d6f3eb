//! Urgency classes of requests, by which the work ahead of a request is accounted.
//!
//! Load pattern: short urgent prompts beside long ones that may wait. Engines serve more urgent
//! requests first, so an urgent request waits only for its equals, and a long one for everything
//! that arrives before its prefill. A sum over all of them predicts too long a wait for the first
//! and too short a wait for the second.

use std::ops::{Index, IndexMut};

use serde::{Deserialize, Serialize};

/// Number of urgency classes. Operators rank routes by a few small numbers, and each additional
/// class adds a byte per upstream to every digest.
pub const CLASSES: usize = 4;

/// Urgency class of a request; smaller is more urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency(u8);

impl Urgency {
    /// Returns the class of a request of `rank`, where 0 is the most urgent rank. The last class
    /// holds all further ranks.
    pub const fn of_rank(rank: u8) -> Self {
        let last = CLASSES as u8 - 1;
        Self(if rank < last { rank } else { last })
    }
}

/// Most urgent rank.
pub const MOST_URGENT_RANK: u8 = 0;

/// Least urgent rank that upstreams distinguish.
const LAST_RANK: u8 = 9;

/// Ranks of all requests of a configuration, from the priorities of account and route.
///
/// The priority of the account takes precedence over that of the route. That alone would rank all
/// requests of an account with a priority alike, so equal priorities are ordered by the route's.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PriorityRanks(Vec<(u8, u8)>);

impl PriorityRanks {
    /// Creates the ranks of `requests`, each given by the priority of its account, if it has one,
    /// and the priority of its route.
    pub fn new(requests: impl IntoIterator<Item = (Option<u8>, u8)>) -> Self {
        let requests = requests.into_iter();
        let mut keys: Vec<_> = requests
            .map(|(account, route)| sort_key(account, route))
            .collect();
        keys.sort_unstable();
        keys.dedup();
        Self(keys)
    }

    /// Returns the rank of a request, from 0 for the most urgent one to 9.
    pub fn rank(&self, account: Option<u8>, route: u8) -> u8 {
        let key = sort_key(account, route);
        let index = self.0.partition_point(|other| *other < key);
        u8::try_from(index).map_or(LAST_RANK, |index| index.min(LAST_RANK))
    }
}

fn sort_key(account: Option<u8>, route: u8) -> (u8, u8) {
    (account.unwrap_or(route), route)
}

/// One value for each urgency class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ByUrgency<T>([T; CLASSES]);

impl<T: Copy> ByUrgency<T> {
    /// Returns the values of `urgency` and of all more urgent classes.
    pub fn ahead_of(&self, urgency: Urgency) -> impl Iterator<Item = T> {
        self.0[..=usize::from(urgency.0)].iter().copied()
    }

    /// Returns the values of all classes.
    pub fn all(&self) -> impl Iterator<Item = T> {
        self.0.iter().copied()
    }

    /// Replaces the value of each class by its combination with that of `other`.
    pub fn zip_with(&mut self, other: &Self, combine: impl Fn(T, T) -> T) {
        for (own, other) in self.0.iter_mut().zip(&other.0) {
            *own = combine(*own, *other);
        }
    }

    /// Applies `change` to each value.
    pub fn map<U>(self, change: impl Fn(T) -> U) -> ByUrgency<U> {
        ByUrgency(self.0.map(change))
    }
}

impl<T> Index<Urgency> for ByUrgency<T> {
    type Output = T;

    fn index(&self, urgency: Urgency) -> &T {
        &self.0[usize::from(urgency.0)]
    }
}

impl<T> IndexMut<Urgency> for ByUrgency<T> {
    fn index_mut(&mut self, urgency: Urgency) -> &mut T {
        &mut self.0[usize::from(urgency.0)]
    }
}
