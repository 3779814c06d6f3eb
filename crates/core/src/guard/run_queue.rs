use std::collections::{HashSet, VecDeque};

/// Queue of runs on one upstream, some of which are exclusive. Runs start in the order of their
/// arrival, so that neither exclusive nor shared runs starve.
#[derive(Debug, Default)]
pub struct RunQueue {
    running: HashSet<u64>,
    exclusive: Option<u64>,
    waiting: VecDeque<(u64, bool)>,
}

impl RunQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a run and returns whether it starts immediately. If not, a later call of
    /// [`Self::remove`] returns it.
    pub fn add(&mut self, run: u64, exclusive: bool) -> bool {
        if self.waiting.is_empty() && self.can_start(exclusive) {
            self.start(run, exclusive);
            return true;
        }
        self.waiting.push_back((run, exclusive));
        false
    }

    /// Removes a run that has ended or is no longer wanted, and returns the runs that start now.
    #[must_use]
    pub fn remove(&mut self, run: u64) -> Vec<u64> {
        self.running.remove(&run);
        self.exclusive = self.exclusive.filter(|exclusive| *exclusive != run);
        self.waiting.retain(|(waiting, _)| *waiting != run);
        let mut started = Vec::new();
        while let Some(&(run, exclusive)) = self.waiting.front()
            && self.can_start(exclusive)
        {
            self.waiting.pop_front();
            self.start(run, exclusive);
            started.push(run);
        }
        started
    }

    /// Returns the number of started runs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting runs.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn can_start(&self, exclusive: bool) -> bool {
        self.exclusive.is_none() && (!exclusive || self.running.is_empty())
    }

    fn start(&mut self, run: u64, exclusive: bool) {
        self.running.insert(run);
        if exclusive {
            self.exclusive = Some(run);
        }
    }
}
