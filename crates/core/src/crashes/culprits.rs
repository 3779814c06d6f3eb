//! Search for the content that explains crashes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::{BrokenRun, ContentId};

/// Number of consecutive crashes after which content is quarantined. Harmless requests reach two
/// crashes when a third of the upstreams crash.
const MIN_CONSECUTIVE: usize = 3;

/// Number of crashes, at the same time or not, after which content is suspected that had no answer
/// yet. With many such requests, all upstreams of a service crash before three of the crashes are
/// consecutive.
const MIN_SIMULTANEOUS: usize = 5;

/// Content that explains crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Culprit {
    /// Contents, in ascending order. They were in the same runs.
    pub contents: Vec<ContentId>,
    /// Whether the crashes were consecutive. Simultaneous ones may have another common cause.
    pub is_certain: bool,
}

/// Runs with one piece of content.
struct Evidence<'a> {
    runs: Vec<&'a BrokenRun>,
    /// Upstream incarnations with whose crash they broke.
    crashes: BTreeSet<u64>,
    /// Number of consecutive ones among the crashes.
    consecutive: usize,
}

impl<'a> Evidence<'a> {
    /// Creates the evidence from runs in the order in which they broke.
    fn new(runs: Vec<&'a BrokenRun>) -> Self {
        Self {
            crashes: runs.iter().map(|run| run.incarnation).collect(),
            consecutive: consecutive_crashes(&runs),
            runs,
        }
    }

    fn is_certain(&self) -> bool {
        self.consecutive >= MIN_CONSECUTIVE
    }

    /// Returns whether the content explains all crashes that `other` explains, and more.
    fn explains_more_than(&self, other: &Self) -> bool {
        self.crashes.len() > other.crashes.len() && self.crashes.is_superset(&other.crashes)
    }

    /// Returns the contents that were in all of the runs, in ascending order.
    fn common_contents(&self) -> Vec<ContentId> {
        let is_in_all = |content: &&ContentId| {
            let mut runs = self.runs.iter();
            runs.all(|run| run.contents.contains(content))
        };
        let contents = self.runs.first().map_or(&[][..], |run| &run.contents);
        let mut common: Vec<_> = contents.iter().filter(is_in_all).copied().collect();
        common.sort_unstable();
        common
    }
}

/// Returns the content that explains the crashes in which `runs` broke. The content in the most
/// crashes explains all of them, and they then speak against no other content: a harmless request
/// may break with the crashes of other requests several times in a row. Of two in as many, the one
/// in fewer runs is more likely: several runs of harmless content may break in one crash.
/// `was_answered` returns whether a request with the content was ever answered.
pub fn find<'a>(
    runs: impl Iterator<Item = &'a BrokenRun>,
    was_answered: impl Fn(ContentId) -> bool,
) -> Vec<Culprit> {
    let mut unexplained = sorted(runs);
    let mut found = Vec::new();
    loop {
        let by_content = evidence_by_content(&unexplained);
        let is_suspect = |(content, evidence): &(&ContentId, &Evidence<'_>)| {
            let is_simultaneous = evidence.crashes.len() >= MIN_SIMULTANEOUS;
            evidence.is_certain() || (is_simultaneous && !was_answered(**content))
        };
        let has_better = |evidence: &Evidence<'_>| {
            let mut others = by_content.values();
            others.any(|other| other.explains_more_than(evidence))
        };
        let culprit = by_content
            .iter()
            .filter(is_suspect)
            .filter(|(_, evidence)| !has_better(evidence))
            .max_by_key(|(content, evidence)| {
                let runs = Reverse(evidence.runs.len());
                (
                    evidence.crashes.len(),
                    evidence.consecutive,
                    runs,
                    **content,
                )
            });
        let Some((_, evidence)) = culprit else {
            return found;
        };
        // Content that was in all of these runs may be the cause as well.
        found.push(Culprit {
            contents: evidence.common_contents(),
            is_certain: evidence.is_certain(),
        });
        unexplained.retain(|run| !evidence.crashes.contains(&run.incarnation));
    }
}

/// Returns the content of runs that broke in at least `crashes` crashes.
pub fn with_crashes<'a>(
    runs: impl Iterator<Item = &'a BrokenRun>,
    crashes: usize,
) -> HashSet<ContentId> {
    evidence_by_content(&sorted(runs))
        .into_iter()
        .filter(|(_, evidence)| evidence.crashes.len() >= crashes)
        .map(|(content, _)| content)
        .collect()
}

fn sorted<'a>(runs: impl Iterator<Item = &'a BrokenRun>) -> Vec<&'a BrokenRun> {
    let mut runs: Vec<_> = runs.collect();
    runs.sort_unstable_by_key(|run| (run.broke_ms, run.sent_ms, run.id));
    runs
}

fn evidence_by_content<'a>(runs: &[&'a BrokenRun]) -> BTreeMap<ContentId, Evidence<'a>> {
    let mut by_content: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for run in runs {
        for content in &run.contents {
            by_content.entry(*content).or_default().push(*run);
        }
    }
    by_content
        .into_iter()
        .map(|(content, runs)| (content, Evidence::new(runs)))
        .collect()
}

/// Counts the runs of which each was sent after the previous one had broken. `runs` are in the
/// order in which they broke.
fn consecutive_crashes(runs: &[&BrokenRun]) -> usize {
    let mut count = 0;
    let mut broke_ms = 0;
    for run in runs {
        if run.sent_ms >= broke_ms {
            count += 1;
            broke_ms = run.broke_ms;
        }
    }
    count
}
