//! A survey under way.

use std::collections::{BTreeMap, BTreeSet};

use notch_messages::{
    entry::{EntryKey, EntryStamp},
    gossip::{EntrySummary, GossipMessage},
};
use notch_types::prelude::*;

use super::repair::differing;
use crate::{
    survey::{EntryCount, SurveyReport},
    table::{BUCKET_COUNT, EntryTable, bucket_of},
};

/// Gateways asked for details when their digest differs; the rest is told as unclear.
const MAX_DETAILS: usize = 16;
/// Questions answered by one round of a survey.
const MAX_ASKERS: usize = 64;

/// What one gateway answered.
#[derive(Debug, Default)]
struct SurveyAnswer {
    summary: EntrySummary,
    same: bool,
    digests: Option<Vec<u64>>,
    /// Buckets that it gave its stamps of.
    told: BTreeSet<u16>,
    stamps: BTreeMap<EntryKey, EntryVersion>,
}

/// A survey under way. The cost falls only when somebody asks, and then one small message a
/// gateway each way: equal digests need no details.
///
/// Bounds: one answer a gateway of the roster, [`MAX_DETAILS`] with details, [`MAX_ASKERS`].
#[derive(Debug)]
pub(crate) struct SurveyRun {
    surveys: Vec<u64>,
    asked: BTreeSet<VmName>,
    answers: BTreeMap<VmName, SurveyAnswer>,
    pub(crate) until: MonoTime,
}

impl SurveyRun {
    pub(crate) fn new(survey: u64, asked: BTreeSet<VmName>, until: MonoTime) -> Self {
        Self { surveys: vec![survey], asked, answers: BTreeMap::new(), until }
    }

    /// Lets another question have the same answer; whether there was room.
    pub(crate) fn join(&mut self, survey: u64) -> bool {
        let room = self.surveys.len() < MAX_ASKERS;
        if room {
            self.surveys.push(survey);
        }
        room
    }

    /// Takes a summary; the next question, if any. `None` when it was not asked for.
    pub(crate) fn summary(
        &mut self,
        from: &VmName,
        summary: EntrySummary,
        table: &EntryTable,
    ) -> Option<Option<GossipMessage>> {
        if !self.asked.contains(from) || self.answers.contains_key(from) {
            return None;
        }
        let same = summary.digest == table.root();
        let detailed = self.answers.values().filter(|answer| !answer.same).count();
        let answer = SurveyAnswer { summary, same, ..SurveyAnswer::default() };
        self.answers.insert(from.clone(), answer);
        let ask = !same && detailed < MAX_DETAILS;
        Some(ask.then_some(GossipMessage::EntryDigestsWanted))
    }

    /// Takes digests; the next question, if any.
    pub(crate) fn digests(
        &mut self,
        from: &VmName,
        digests: &[u64],
        table: &EntryTable,
    ) -> Option<GossipMessage> {
        let answer = self.answers.get_mut(from).filter(|answer| !answer.same)?;
        answer.digests = Some(digests.to_vec());
        let buckets: Vec<u16> = differing(table.digests(), digests).into_iter().collect();
        (!buckets.is_empty()).then_some(GossipMessage::EntryStampsWanted { buckets })
    }

    /// Takes stamps.
    pub(crate) fn stamps(&mut self, from: &VmName, buckets: &[u16], stamps: &[EntryStamp]) {
        let Some(answer) = self.answers.get_mut(from).filter(|answer| !answer.same) else { return };
        answer.told.extend(buckets.iter().filter(|bucket| **bucket < BUCKET_COUNT));
        let versions = stamps.iter().map(|stamp| (stamp.key.clone(), stamp.version));
        answer.stamps.extend(versions);
    }

    /// Whether nothing more can come.
    pub(crate) fn is_done(&self, table: &EntryTable) -> bool {
        let clear = |answer: &SurveyAnswer| answer.same || is_clear(answer, table);
        self.answers.len() == self.asked.len() && self.answers.values().all(clear)
    }

    /// The questions and the report; `own` is this gateway's own summary.
    pub(crate) fn finish(self, own: EntrySummary, table: &EntryTable) -> (Vec<u64>, SurveyReport) {
        let answers: Vec<(&VmName, &SurveyAnswer)> = self.answers.iter().collect();
        let pick = |wanted: &dyn Fn(&SurveyAnswer) -> bool| -> Vec<VmName> {
            answers
                .iter()
                .filter(|(_, answer)| wanted(answer))
                .map(|(vm, _)| (*vm).clone())
                .collect()
        };
        let summaries = || self.answers.values().map(|answer| answer.summary).chain([own]);
        let same = 1 + self.answers.values().filter(|answer| answer.same).count();
        let told: Vec<&SurveyAnswer> = self
            .answers
            .values()
            .filter(|answer| !answer.same && answer.digests.is_some())
            .collect();
        let entries = table.entries().map(|(record, _)| {
            let key = &record.key;
            let more =
                told.iter().filter(|answer| has_in_force(answer, key, record.version, table));
            let count = EntryCount { version: record.version, gateways: same + more.count() };
            (key.clone(), count)
        });
        let report = SurveyReport {
            gateways: self.asked.len() + 1,
            answered: self.answers.len() + 1,
            unclear: pick(&|answer| !answer.same && !is_clear(answer, table)),
            silent: self
                .asked
                .iter()
                .filter(|vm| !self.answers.contains_key(*vm))
                .cloned()
                .collect(),
            refusing: pick(&|answer| answer.summary.refused > 0),
            sidecars: summaries().map(|summary| summary.sidecars as usize).sum(),
            sidecars_current: summaries().map(|summary| summary.sidecars_current as usize).sum(),
            entries: entries.collect(),
        };
        (self.surveys, report)
    }
}

/// Whether every bucket of the answer is either equal to ours or told in full.
fn is_clear(answer: &SurveyAnswer, table: &EntryTable) -> bool {
    let Some(digests) = &answer.digests else { return false };
    differing(table.digests(), digests).is_subset(&answer.told)
}

fn has_in_force(
    answer: &SurveyAnswer,
    key: &EntryKey,
    version: EntryVersion,
    table: &EntryTable,
) -> bool {
    let bucket = bucket_of(key);
    if answer.told.contains(&(bucket as u16)) {
        return answer.stamps.get(key).is_some_and(|theirs| *theirs >= version);
    }
    let theirs = answer.digests.as_ref().and_then(|digests| digests.get(bucket));
    theirs == table.digests().get(bucket)
}
