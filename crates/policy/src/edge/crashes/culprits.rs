//! Search for the content that explains crashes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};

use super::{BrokenRun, ContentId};

/// Number of consecutive crashes after which content is quarantined. Harmless requests reach two
/// crashes when a third of the upstreams crash.
const CRASHES_BEFORE_REFUSAL: usize = 3;

/// Returns the sets of content that explain the crashes in which `runs` broke, each in ascending
/// order. The content with the most consecutive crashes explains all crashes of its runs, which
/// then speak against no other content. Of two with as many, the one in fewer runs is more likely:
/// several runs of harmless content may break in one crash.
pub fn find<'a>(runs: impl Iterator<Item = &'a BrokenRun>) -> Vec<Vec<ContentId>> {
    let mut unexplained = sorted(runs);
    let mut found = Vec::new();
    loop {
        let by_content = runs_by_content(&unexplained);
        let counted = by_content
            .iter()
            .map(|(content, runs)| (consecutive_crashes(runs), Reverse(runs.len()), *content));
        let Some((crashes, _, content)) = counted.max() else {
            return found;
        };
        if crashes < CRASHES_BEFORE_REFUSAL {
            return found;
        }
        let own_runs = &by_content[&content];
        // Content that was in all of these runs may be the cause as well.
        let is_in_all =
            |other: &&ContentId| own_runs.iter().all(|run| run.contents.contains(other));
        let contents = own_runs[0].contents.iter().filter(is_in_all);
        let mut contents: Vec<_> = contents.copied().collect();
        contents.sort_unstable();
        found.push(contents);
        let explained: HashSet<u64> = own_runs.iter().map(|run| run.incarnation).collect();
        unexplained.retain(|run| !explained.contains(&run.incarnation));
    }
}

/// Returns the content with at least `crashes` consecutive crashes.
pub fn with_crashes<'a>(
    runs: impl Iterator<Item = &'a BrokenRun>,
    crashes: usize,
) -> HashSet<ContentId> {
    runs_by_content(&sorted(runs))
        .into_iter()
        .filter(|(_, runs)| consecutive_crashes(runs) >= crashes)
        .map(|(content, _)| content)
        .collect()
}

fn sorted<'a>(runs: impl Iterator<Item = &'a BrokenRun>) -> Vec<&'a BrokenRun> {
    let mut runs: Vec<_> = runs.collect();
    runs.sort_unstable_by_key(|run| (run.broke_ms, run.sent_ms, run.id));
    runs
}

fn runs_by_content<'a>(runs: &[&'a BrokenRun]) -> BTreeMap<ContentId, Vec<&'a BrokenRun>> {
    let mut by_content: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for run in runs {
        for content in &run.contents {
            by_content.entry(*content).or_default().push(*run);
        }
    }
    by_content
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
