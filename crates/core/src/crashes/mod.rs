//! Detection of content that crashes the upstreams that process it: a whole request, or a prefix
//! block that requests share.
//!
//! Load pattern: one request crashes every upstream that begins to run it, and its caller sends it
//! again to any instance, with a new identity but the same path, account and body. Or requests that
//! share one prefix block do so, no two of them alike, among harmless requests of the same account
//! that share their other blocks. With every crash, requests break that only ran at the same
//! upstream. Others break without any crash: connections are reset, or upstreams go down together.
//!
//! Content is quarantined after three consecutive crashes of which each broke a run with this
//! content that was sent after the previous one had broken. If many of these requests come at once,
//! all upstreams crash before that; content that was never answered is then refused until upstreams
//! are back and one run has shown its effect. A complete answer to a request with the content
//! clears it. Instances exchange [`CrashReport`]s and draw the same conclusions from them.

mod culprits;
mod news;
mod prompt;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use culprits::Culprit;
use news::News;

pub use prompt::prompt_contents;

/// Time for which content is refused after its last crash. A run after that may cost one more
/// crash, so this bounds the crashes by one piece of content to thirty per hour.
const REFUSAL_PERIOD: Duration = Duration::from_mins(2);

/// Time for which content is refused after simultaneous crashes, which may have another cause. One
/// run after that shows which it was.
const SUSPICION_PERIOD: Duration = Duration::from_secs(5);

/// Time after the first run that follows the refusal period in which no other request with this
/// content runs. The run either completes or crashes in this time.
const TRIAL_PERIOD: Duration = Duration::from_secs(10);

/// Time after which a crashed run is forgotten, unless its content is still quarantined.
const RUN_RETENTION: Duration = Duration::from_mins(5);

/// Time from a complete answer until a crash from which the answer still clears its content. It
/// covers the difference between the clocks of the instances.
const ANSWER_VALIDITY: Duration = Duration::from_secs(5);

/// Age up to which a crashed run is told to instances that have just started even if no content is
/// quarantined for it.
const RECENT_RUN_AGE: Duration = Duration::from_secs(10);

/// Number of crashes from which the runs of a piece of content are written to the store.
const SUSPICIOUS_CRASHES: usize = 2;

/// Maximum number of crashed runs that are kept. One crash breaks as many as the upstream has
/// slots.
const MAX_CRASHED_RUNS: usize = 512;

/// Maximum number of broken runs whose upstream is not known to have ended. The oldest ones are
/// dropped.
const MAX_BROKEN_RUNS: usize = 512;

/// Maximum number of pieces of content of a run that are kept, without those that were answered
/// recently.
const MAX_CONTENTS: usize = 16;

/// Maximum number of pieces of content whose last complete answer is remembered.
const MAX_ANSWERS: usize = 4_096;

/// Number of ended incarnations that are remembered for runs that are found broken later.
const MAX_ENDED_INCARNATIONS: usize = 64;

/// Maximum time by which the times in a report may lie in the future. Later ones are not plausible.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_mins(1);

/// Identity of a piece of content: the hash of a whole request or of a shared prefix block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentId(pub u64);

/// Run of a request whose connection to the upstream broke.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRun {
    /// Identity of the run.
    pub id: u64,
    /// Content that may be the cause: the whole request, and its shared prefix blocks.
    pub contents: Vec<ContentId>,
    /// Hash that identifies one incarnation of the upstream.
    pub incarnation: u64,
    /// Wall-clock time at which the request was sent, in milliseconds since 1970.
    pub sent_ms: u64,
    /// Wall-clock time at which the run broke, in milliseconds since 1970.
    pub broke_ms: u64,
}

/// Complete answer to a request with a piece of content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The content.
    pub content: ContentId,
    /// Wall-clock time of the answer, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Crashed runs, and answers that clear some of their content. Instances send it to each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Runs that broke with upstreams that have ended.
    pub runs: Vec<BrokenRun>,
    /// Answers after or shortly before these runs.
    pub answers: Vec<Answer>,
}

impl CrashReport {
    /// Whether the report says nothing.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.answers.is_empty()
    }
}

/// Content that is refused. A request is refused if it contains all of `contents`: they were in the
/// same runs so far, so it is not known which of them is the cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// Contents, in ascending order.
    pub contents: Vec<ContentId>,
    /// Time until which requests are refused, in milliseconds since 1970.
    pub until_ms: u64,
}

/// Source of a [`CrashReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// This instance, before its last start.
    Own,
    /// Another instance that sends it to the others too.
    Shared,
    /// Another instance. This one passes it on to the others.
    Unshared,
}

#[derive(Debug, Clone)]
struct CrashedRun {
    run: BrokenRun,
    /// Whether this instance sent the request.
    is_own: bool,
}

/// Broken runs and quarantined content, as known to one instance. All times are wall-clock times in
/// milliseconds since 1970.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    /// Own runs whose upstream is not known to have ended.
    broken: VecDeque<BrokenRun>,
    crashed: Vec<CrashedRun>,
    ended_incarnations: VecDeque<u64>,
    /// Times of the last complete answers.
    answers: HashMap<ContentId, u64>,
    quarantines: Vec<Quarantine>,
    news: News,
    /// Number of changes of what is known of crashes.
    revision: u64,
    /// Fraction by which this instance extends the refusal period, 0 to 1. It differs between
    /// instances, so that they do not allow another run at the same time.
    refusal_jitter: f64,
}

impl CrashHistory {
    /// Creates the history of an instance that extends the refusal period by the fraction
    /// `refusal_jitter`, 0 to 1.
    pub fn new(refusal_jitter: f64) -> Self {
        Self {
            refusal_jitter,
            ..Self::default()
        }
    }

    /// Records a run of this instance that broke. Returns whether it is suspicious: whether any of
    /// its content had no complete answer recently.
    pub fn record_broken_run(&mut self, mut run: BrokenRun, now_ms: u64) -> bool {
        self.drop_cleared(&mut run);
        if run.contents.is_empty() {
            return false;
        }
        if self.ended_incarnations.contains(&run.incarnation) {
            self.add_own_crashed(run, now_ms);
            self.update_quarantines();
            return true;
        }
        if self.broken.len() >= MAX_BROKEN_RUNS {
            self.broken.pop_front();
        }
        self.broken.push_back(run);
        true
    }

    /// Records that an incarnation of an upstream has ended for good. Returns the number of runs
    /// that broke with it, as [`Self::record_crash`] does.
    pub fn end_incarnation(&mut self, incarnation: u64, now_ms: u64) -> usize {
        if !self.ended_incarnations.contains(&incarnation) {
            if self.ended_incarnations.len() >= MAX_ENDED_INCARNATIONS {
                self.ended_incarnations.pop_front();
            }
            self.ended_incarnations.push_back(incarnation);
        }
        self.record_crash(incarnation, now_ms)
    }

    /// Records that an incarnation of an upstream has crashed. Returns the number of runs that
    /// broke with it and were not counted for a crash before.
    pub fn record_crash(&mut self, incarnation: u64, now_ms: u64) -> usize {
        let (ended, broken) = std::mem::take(&mut self.broken)
            .into_iter()
            .partition(|run| run.incarnation == incarnation);
        self.broken = broken;
        let ended: VecDeque<BrokenRun> = ended;
        let count = ended.len();
        for run in ended {
            self.add_own_crashed(run, now_ms);
        }
        if count > 0 {
            self.update_quarantines();
        }
        count
    }

    /// Records a complete answer to a request with `contents`, which clears them.
    pub fn record_answer(&mut self, contents: &[ContentId], now_ms: u64) {
        let mut is_changed = false;
        for content in contents {
            let answer = Answer {
                content: *content,
                at_ms: now_ms,
            };
            if self.add_answer(answer, now_ms) {
                self.news.add_answer(answer, now_ms);
                is_changed = true;
            }
        }
        if is_changed {
            self.update_quarantines();
        }
    }

    /// Applies a report.
    pub fn merge(&mut self, report: &CrashReport, source: ReportSource, now_ms: u64) {
        let latest_ms = now_ms + millis(MAX_CLOCK_DIFFERENCE);
        let mut is_changed = false;
        for answer in &report.answers {
            if answer.at_ms <= latest_ms && self.add_answer(*answer, now_ms) {
                is_changed = true;
                if source == ReportSource::Unshared {
                    self.news.add_answer(*answer, now_ms);
                }
            }
        }
        for run in &report.runs {
            let is_plausible = run.sent_ms <= run.broke_ms && run.broke_ms <= latest_ms;
            if is_plausible && now_ms.saturating_sub(run.broke_ms) < millis(RUN_RETENTION) {
                let mut run = run.clone();
                self.refute(&mut run, now_ms);
                is_changed |= self.add_crashed(run, source, now_ms);
            }
        }
        if is_changed {
            self.update_quarantines();
        }
    }

    /// Whether no run is known to have broken and nothing is quarantined. If so, callers need not
    /// compute the hash of a whole request.
    pub fn is_empty(&self) -> bool {
        self.broken.is_empty() && self.crashed.is_empty()
    }

    /// Returns the time for which a request with `contents` is still refused, or `None` if it may
    /// run.
    pub fn refused_for(&self, contents: &[ContentId], now_ms: u64) -> Option<Duration> {
        let until_ms = self
            .quarantines
            .iter()
            .filter(|quarantine| quarantine.applies_to(contents))
            .map(|quarantine| quarantine.until_ms)
            .max()?;
        (until_ms > now_ms).then(|| Duration::from_millis(until_ms - now_ms))
    }

    /// Records that a request with `contents` is being sent. If they were refused before, other
    /// requests with them are refused until this one has shown its effect.
    pub fn record_sent(&mut self, contents: &[ContentId], now_ms: u64) {
        for quarantine in &mut self.quarantines {
            if quarantine.applies_to(contents) {
                let trial_end_ms = now_ms + millis(TRIAL_PERIOD);
                quarantine.until_ms = quarantine.until_ms.max(trial_end_ms);
            }
        }
    }

    /// Returns a number that increases with each change of what is known of crashes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the quarantined content.
    pub fn quarantines(&self) -> &[Quarantine] {
        &self.quarantines
    }

    /// Returns the news that are due to be sent to other instances at `now_ms`.
    pub fn take_news(&mut self, now_ms: u64) -> CrashReport {
        self.news.take(now_ms)
    }

    /// Returns what an instance needs that has just started.
    pub fn report(&self, now_ms: u64) -> CrashReport {
        self.report_of(|crashed| {
            let age_ms = now_ms.saturating_sub(crashed.run.broke_ms);
            age_ms < millis(RECENT_RUN_AGE) || self.is_quarantined(&crashed.run)
        })
    }

    /// Returns the part of this instance in what is known of suspicious content, to be kept in the
    /// store.
    pub fn own_report(&self) -> CrashReport {
        let suspects = culprits::with_crashes(self.suspect_runs(), SUSPICIOUS_CRASHES);
        self.report_of(|crashed| {
            crashed.is_own && crashed.run.contents.iter().any(|c| suspects.contains(c))
        })
    }

    /// Drops runs that are too old to count.
    pub fn sweep(&mut self, now_ms: u64) {
        let is_old = |run: &BrokenRun| now_ms.saturating_sub(run.broke_ms) >= millis(RUN_RETENTION);
        self.broken.retain(|run| !is_old(run));
        // As long as one crash of quarantined content is recent, the earlier ones count too.
        let recent: Vec<_> = self
            .quarantines
            .iter()
            .filter(|quarantine| {
                self.crashed
                    .iter()
                    .any(|crashed| !is_old(&crashed.run) && quarantine.is_in(&crashed.run))
            })
            .cloned()
            .collect();
        let before = self.crashed.len();
        self.crashed.retain(|crashed| {
            !is_old(&crashed.run) || recent.iter().any(|q| q.is_in(&crashed.run))
        });
        if self.crashed.len() != before {
            self.revision += 1;
            self.update_quarantines();
        }
    }

    fn add_own_crashed(&mut self, run: BrokenRun, now_ms: u64) {
        self.add_crashed(run, ReportSource::Own, now_ms);
    }

    /// Adds a run. Returns whether it changes what is known.
    fn add_crashed(&mut self, run: BrokenRun, source: ReportSource, now_ms: u64) -> bool {
        let is_own = source == ReportSource::Own;
        if let Some(known) = self.crashed.iter_mut().find(|c| c.run.id == run.id) {
            known.is_own |= is_own;
            // Content that is missing in one of two reports has been cleared.
            let contents = &mut known.run.contents;
            let before = contents.len();
            contents.retain(|content| run.contents.contains(content));
            let is_changed = contents.len() != before;
            self.revision += u64::from(is_changed);
            return is_changed;
        }
        if self.crashed.len() >= MAX_CRASHED_RUNS {
            let oldest = (0..self.crashed.len()).min_by_key(|at| {
                let run = &self.crashed[*at].run;
                (self.is_quarantined(run), run.broke_ms)
            });
            self.crashed.swap_remove(oldest.unwrap_or(0));
        }
        if source != ReportSource::Shared {
            self.news.add_run(run.clone(), now_ms);
        }
        self.crashed.push(CrashedRun { run, is_own });
        self.revision += 1;
        true
    }

    /// Records an answer. Returns whether it clears content of crashed runs.
    fn add_answer(&mut self, answer: Answer, now_ms: u64) -> bool {
        let Answer { content, at_ms } = answer;
        if !self.answers.contains_key(&content) && self.answers.len() >= MAX_ANSWERS {
            self.drop_old_answers(now_ms);
        }
        let is_full = self.answers.len() >= MAX_ANSWERS;
        match self.answers.get_mut(&content) {
            Some(known) => *known = at_ms.max(*known),
            None if is_full => {}
            None => {
                self.answers.insert(content, at_ms);
            }
        }
        let is_cleared = |run: &BrokenRun| run.broke_ms < at_ms + millis(ANSWER_VALIDITY);
        let mut is_changed = false;
        for crashed in &mut self.crashed {
            let run = &mut crashed.run;
            if is_cleared(run) {
                let before = run.contents.len();
                run.contents.retain(|other| *other != content);
                is_changed |= run.contents.len() != before;
            }
        }
        self.revision += u64::from(is_changed);
        is_changed
    }

    fn drop_old_answers(&mut self, now_ms: u64) {
        self.answers
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < millis(ANSWER_VALIDITY));
    }

    /// Returns whether an answer clears `content` of a crash at `broke_ms`.
    fn is_cleared(&self, content: ContentId, broke_ms: u64) -> bool {
        let answer = self.answers.get(&content);
        answer.is_some_and(|at_ms| broke_ms < at_ms + millis(ANSWER_VALIDITY))
    }

    fn drop_cleared(&self, run: &mut BrokenRun) {
        let broke_ms = run.broke_ms;
        run.contents
            .retain(|content| !self.is_cleared(*content, broke_ms));
        run.contents.truncate(MAX_CONTENTS);
    }

    /// Drops the content of another instance's run that answers clear, and tells the others of
    /// these answers.
    fn refute(&mut self, run: &mut BrokenRun, now_ms: u64) {
        for content in &run.contents {
            if self.is_cleared(*content, run.broke_ms)
                && let Some(at_ms) = self.answers.get(content)
            {
                let answer = Answer {
                    content: *content,
                    at_ms: *at_ms,
                };
                self.news.add_answer(answer, now_ms);
            }
        }
        self.drop_cleared(run);
    }

    fn is_quarantined(&self, run: &BrokenRun) -> bool {
        self.quarantines.iter().any(|q| q.is_in(run))
    }

    fn suspect_runs(&self) -> impl Iterator<Item = &BrokenRun> {
        self.crashed.iter().map(|crashed| &crashed.run)
    }

    fn report_of(&self, is_included: impl Fn(&CrashedRun) -> bool) -> CrashReport {
        let included = self.crashed.iter().filter(|crashed| is_included(crashed));
        CrashReport {
            runs: included.map(|crashed| crashed.run.clone()).collect(),
            answers: Vec::new(),
        }
    }

    fn update_quarantines(&mut self) {
        let found = culprits::find(self.suspect_runs(), |content| {
            self.answers.contains_key(&content)
        });
        let quarantines = found.into_iter().map(|culprit| self.quarantine(culprit));
        self.quarantines = quarantines.collect();
    }

    fn quarantine(&self, culprit: Culprit) -> Quarantine {
        let period = if culprit.is_certain {
            REFUSAL_PERIOD
        } else {
            SUSPICION_PERIOD
        };
        let mut quarantine = Quarantine {
            contents: culprit.contents,
            until_ms: 0,
        };
        let runs = self.suspect_runs().filter(|run| quarantine.is_in(run));
        let last_ms = runs.map(|run| run.broke_ms).max().unwrap_or(0);
        let known = self
            .quarantines
            .iter()
            .find(|known| known.contents == quarantine.contents);
        // A trial that is in progress goes on.
        let known_until_ms = known.map_or(0, |known| known.until_ms);
        let refused_ms = millis(period.mul_f64(1.0 + self.refusal_jitter));
        quarantine.until_ms = known_until_ms.max(last_ms + refused_ms);
        quarantine
    }
}

impl Quarantine {
    fn applies_to(&self, contents: &[ContentId]) -> bool {
        self.contents
            .iter()
            .all(|content| contents.contains(content))
    }

    fn is_in(&self, run: &BrokenRun) -> bool {
        self.applies_to(&run.contents)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
