//! Search for the content that explains crashes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};

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
    /// Number of crashes that broke them.
    crashes: usize,
    /// Number of consecutive ones among the crashes.
    consecutive: usize,
}

impl<'a> Evidence<'a> {
    /// Creates the evidence from runs in the order in which they broke.
    fn new(runs: Vec<&'a BrokenRun>) -> Self {
        Self {
            crashes: incarnations(&runs).len(),
            consecutive: consecutive_crashes(&runs),
            runs,
        }
    }
}

/// Returns the content that explains the crashes in which `runs` broke. The content with the most
/// consecutive crashes explains all crashes of its runs, which then speak against no other content.
/// Of two with as many, the one in fewer runs is more likely: several runs of harmless content may
/// break in one crash. `was_answered` returns whether a request with the content was ever answered.
pub fn find<'a>(
    runs: impl Iterator<Item = &'a BrokenRun>,
    was_answered: impl Fn(ContentId) -> bool,
) -> Vec<Culprit> {
    let mut unexplained = sorted(runs);
    let mut found = Vec::new();
    loop {
        let by_content = evidence_by_content(&unexplained);
        let certain = by_content
            .iter()
            .filter(|(_, evidence)| evidence.consecutive >= MIN_CONSECUTIVE)
            .max_by_key(|(content, evidence)| {
                (
                    evidence.consecutive,
                    Reverse(evidence.runs.len()),
                    **content,
                )
            });
        let simultaneous = || {
            by_content
                .iter()
                .filter(|(content, evidence)| {
                    evidence.crashes >= MIN_SIMULTANEOUS && !was_answered(**content)
                })
                .max_by_key(|(content, evidence)| {
                    (evidence.crashes, Reverse(evidence.runs.len()), **content)
                })
        };
        let Some((_, Evidence { runs, .. })) = certain.or_else(simultaneous) else {
            return found;
        };
        // Content that was in all of these runs may be the cause as well.
        let is_in_all = |other: &&ContentId| runs.iter().all(|run| run.contents.contains(other));
        let contents = runs[0].contents.iter().filter(is_in_all);
        let mut contents: Vec<_> = contents.copied().collect();
        contents.sort_unstable();
        found.push(Culprit {
            contents,
            is_certain: certain.is_some(),
        });
        let explained = incarnations(runs);
        unexplained.retain(|run| !explained.contains(&run.incarnation));
    }
}

/// Returns the content of runs that broke in at least `crashes` crashes.
pub fn with_crashes<'a>(
    runs: impl Iterator<Item = &'a BrokenRun>,
    crashes: usize,
) -> HashSet<ContentId> {
    evidence_by_content(&sorted(runs))
        .into_iter()
        .filter(|(_, evidence)| evidence.crashes >= crashes)
        .map(|(content, _)| content)
        .collect()
}

fn incarnations(runs: &[&BrokenRun]) -> HashSet<u64> {
    runs.iter().map(|run| run.incarnation).collect()
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
