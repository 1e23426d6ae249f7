//! Verdicts on parts, from the evidence of this router and its peers.

use std::collections::{BTreeMap, VecDeque};

use base::Millis;

use crate::evidence::{Crash, SuspectPart};
use crate::identity::{PartKey, VersionHash, is_request};
use crate::judge::{RunEnds, Verdict, find_harmful};
use crate::notice::{CrashReport, PartVerdict, QuarantineNotice, TargetRun};
use crate::settings::QuarantineSettings;
use crate::sound::SoundParts;

/// Number of heartbeats that carry a report or a proof, as datagrams may be lost.
const REPEATS: u32 = 3;
/// Maximum reports, proofs and verdicts in one notice, so that it fits into a heartbeat.
const MAX_REPORTS: usize = 4;
const MAX_PROOFS: usize = 8;
const MAX_VERDICTS: usize = 6;
/// Maximum parts of one report; a prompt has fewer that are not known to be sound.
const MAX_REPORT_PARTS: usize = 5;
/// Maximum reports and proofs that wait to be sent.
const MAX_OUTGOING: usize = 32;
/// Time in milliseconds in which a trial ends and its result reaches all routers.
const TRIAL_MS: Millis = 2_000;
/// Number of crashes that a part in quarantine explains.
const MAX_EXPLAINED: usize = 16;
/// Number of reports of peers that are recognized when they come again.
const MAX_RECENT_REPORTS: usize = 512;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestVerdict {
    Allowed,
    /// The request is the trial of a part in quarantine.
    Trial {
        part: u64,
    },
    /// The request has a part in quarantine.
    Withheld {
        part: u64,
        retry_ms: Millis,
    },
}

/// A change of belief, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineEvent {
    /// A part was put in quarantine, by this router's evidence or a peer's verdict.
    Held { key: PartKey, crashes: usize, companions: Vec<u64>, hold_ms: Millis },
    /// A part in quarantine got a complete response.
    Lifted { key: PartKey },
}

#[derive(Clone, Debug)]
struct HeldPart {
    companions: Vec<u64>,
    /// Trials so far.
    trials: u32,
    /// When the next trial may be made.
    until: Millis,
    /// Targets that crashed under prompts with the part, the oldest first.
    targets: VecDeque<TargetRun>,
}

/// What is sent to peers, with the number of notices that still carry it.
#[derive(Clone, Debug)]
struct Outgoing<T> {
    item: T,
    repeats: u32,
}

/// Parts that crash targets, as one router knows them.
#[derive(Debug)]
pub struct PartQuarantine {
    settings: QuarantineSettings,
    /// Identifies this process in reports.
    origin: u64,
    sequence: u64,
    sound: SoundParts,
    sound_requests: SoundParts,
    /// Never holds a part that is in `held`.
    suspects: BTreeMap<PartKey, SuspectPart>,
    held: BTreeMap<PartKey, HeldPart>,
    ends: RunEnds,
    /// When the first crash may be judged that is not yet.
    settles_at: Option<Millis>,
    recent_reports: VecDeque<(u64, u64)>,
    reports: VecDeque<Outgoing<(CrashReport, Millis)>>,
    proofs: VecDeque<Outgoing<PartKey>>,
    /// Index of the verdict that the next notice starts at.
    next_verdict: usize,
    events: Vec<QuarantineEvent>,
}

impl PartQuarantine {
    /// Creates the quarantine of the process that `origin` identifies.
    pub fn new(origin: u64, settings: QuarantineSettings) -> Self {
        Self {
            settings,
            origin,
            sequence: 0,
            sound: SoundParts::default(),
            sound_requests: SoundParts::default(),
            suspects: BTreeMap::new(),
            held: BTreeMap::new(),
            ends: RunEnds::default(),
            settles_at: None,
            recent_reports: VecDeque::new(),
            reports: VecDeque::new(),
            proofs: VecDeque::new(),
            next_verdict: 0,
            events: Vec::new(),
        }
    }

    /// Records a complete response of a target with `version` to a prompt with `parts`.
    pub fn record_complete(&mut self, parts: &[u64], version: VersionHash, now: Millis) {
        for part in parts {
            let key = PartKey { part: *part, version };
            if self.prove_sound(key, now) {
                self.queue_proof(key);
            }
        }
    }

    /// Records that `target` broke off a response to a prompt with `parts` as it began.
    /// Returns whether peers should be told at once.
    pub fn record_crash(&mut self, parts: &[u64], target: TargetRun, now: Millis) -> bool {
        let mut suspected = self.unsound(parts, target.version, now);
        suspected.truncate(MAX_REPORT_PARTS);
        if suspected.is_empty() {
            return false;
        }
        self.sequence += 1;
        let report = CrashReport {
            origin: self.origin,
            sequence: self.sequence,
            target,
            age: 0,
            parts: suspected,
        };
        self.add_evidence(&report, now, now);
        if self.reports.len() >= MAX_OUTGOING {
            self.reports.pop_front();
        }
        self.reports.push_back(Outgoing { item: (report, now), repeats: REPEATS });
        true
    }

    /// Merges what a peer knows.
    pub fn merge(&mut self, notice: QuarantineNotice, now: Millis) {
        for key in notice.sound {
            self.prove_sound(key, now);
        }
        for report in notice.reports {
            let key = (report.origin, report.sequence);
            if report.origin == self.origin || self.recent_reports.contains(&key) {
                continue;
            }
            if self.recent_reports.len() >= MAX_RECENT_REPORTS {
                self.recent_reports.pop_front();
            }
            self.recent_reports.push_back(key);
            let at = now.saturating_sub(report.age);
            for part in report.parts.iter().take(MAX_REPORT_PARTS) {
                let key = PartKey { part: *part, version: report.target.version };
                if self.is_sound(key, at) {
                    self.queue_proof(key);
                }
            }
            self.add_evidence(&report, at, now);
        }
        for verdict in notice.verdicts {
            self.merge_verdict(verdict, now);
        }
    }

    /// Returns what all peers should know, for a round of heartbeats.
    pub fn notice(&mut self, now: Millis) -> QuarantineNotice {
        self.judge_settled(now);
        self.forget_old(now);
        let reports = take_repeats(&mut self.reports, MAX_REPORTS).into_iter();
        let reports = reports.map(|(report, at)| {
            let age = now.saturating_sub(at);
            CrashReport { age, ..report }
        });
        QuarantineNotice {
            reports: reports.collect(),
            sound: take_repeats(&mut self.proofs, MAX_PROOFS),
            verdicts: self.next_verdicts(now),
        }
    }

    /// Whether more notices should follow soon: crashes are judged once their reports are here, also
    /// if a datagram is lost.
    pub fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Returns what a peer should know that has just started. Leaves the repeats of reports
    /// and proofs to the rounds that reach all peers.
    pub fn notice_for_one(&mut self, now: Millis) -> QuarantineNotice {
        QuarantineNotice { verdicts: self.next_verdicts(now), ..QuarantineNotice::default() }
    }

    /// Returns some parts in quarantine, different ones each time.
    fn next_verdicts(&mut self, now: Millis) -> Vec<PartVerdict> {
        let count = self.held.len().min(MAX_VERDICTS);
        let start = self.next_verdict.checked_rem(self.held.len()).unwrap_or(0);
        self.next_verdict = start + count;
        let held_parts = self.held.iter().cycle().skip(start).take(count);
        let verdicts = held_parts.map(|(key, held)| PartVerdict {
            key: *key,
            companions: held.companions.clone(),
            remaining: held.until.saturating_sub(now),
            trials: held.trials,
        });
        verdicts.collect()
    }

    /// Decides whether a request whose prompt has `parts` may be sent. `is_elected` tells
    /// whether trials are up to this router.
    pub fn decide(&mut self, parts: &[u64], is_elected: bool, now: Millis) -> RequestVerdict {
        let settings = self.settings;
        self.judge_settled(now);
        let Some(key) = self.held_key(parts) else { return RequestVerdict::Allowed };
        let Some(held) = self.held.get_mut(&key) else { return RequestVerdict::Allowed };
        let part = key.part;
        let is_final = is_request(part) && held.trials >= settings.max_request_trials;
        if now < held.until || !is_elected || is_final {
            let wait_ms = held.until.saturating_sub(now);
            let wait_ms = if is_final { wait_ms.max(settings.first_hold_ms) } else { wait_ms };
            let retry_ms = wait_ms.saturating_add(TRIAL_MS);
            return RequestVerdict::Withheld { part, retry_ms };
        }
        held.trials += 1;
        held.until = now.saturating_add(settings.hold_ms(held.trials));
        RequestVerdict::Trial { part }
    }

    /// Lifts what is due for a trial and was held at a version that no target has any more, as
    /// after a release was taken back.
    pub fn lift_unused(&mut self, is_used: impl Fn(VersionHash) -> bool, now: Millis) {
        let due = self.held.iter().filter(|(key, held)| now >= held.until && !is_used(key.version));
        for key in due.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.prove_sound(key, now);
            self.queue_proof(key);
        }
    }

    /// Whether a request whose prompt has `parts` is withheld. Makes no trial.
    pub fn is_withheld(&mut self, parts: &[u64], now: Millis) -> bool {
        self.judge_settled(now);
        self.held_key(parts).is_some()
    }

    /// Returns the changes of belief since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the numbers of parts that are suspected, in quarantine and known to be sound.
    pub fn sizes(&self) -> [usize; 3] {
        [self.suspects.len(), self.held.len(), self.sound.len() + self.sound_requests.len()]
    }

    /// Returns the part, held at some version, for which a prompt with `parts` is withheld.
    fn held_key(&self, parts: &[u64]) -> Option<PartKey> {
        let held = parts.iter().flat_map(|part| self.held.range(PartKey::all_of(*part)));
        let mut withholding =
            held.filter(|(_, held)| held.companions.iter().all(|other| parts.contains(other)));
        withholding.next().map(|(key, _)| *key)
    }

    fn unsound(&self, parts: &[u64], version: VersionHash, at: Millis) -> Vec<u64> {
        let is_sound = |part| self.is_sound(PartKey { part, version }, at);
        parts.iter().copied().filter(|part| !is_sound(*part)).collect()
    }

    /// Whether a part got a complete response lately before `at`, or later.
    fn is_sound(&self, key: PartKey, at: Millis) -> bool {
        let sound = if is_request(key.part) { &self.sound_requests } else { &self.sound };
        sound.is_sound(key, self.settings.sound_ms, at)
    }

    /// Records a complete response to a prompt with a part; returns whether the part was
    /// suspected.
    fn prove_sound(&mut self, key: PartKey, now: Millis) -> bool {
        let is_request = is_request(key.part);
        let sound = if is_request { &mut self.sound_requests } else { &mut self.sound };
        sound.record(key, self.settings.max_sound, self.settings.sound_ms, now);
        if self.suspects.is_empty() && self.held.is_empty() {
            return false;
        }
        let is_held = self.held.remove(&key).is_some();
        if is_held {
            self.events.push(QuarantineEvent::Lifted { key });
        }
        let was_suspected = self.suspects.remove(&key).is_some() || is_held;
        let held = self.held.iter_mut().map(|(other, held)| (other, &mut held.companions));
        let suspects = self.suspects.iter_mut().map(|(other, s)| (other, &mut s.companions));
        let mut was_companion = false;
        for (_, companions) in held.chain(suspects).filter(|(o, _)| o.version == key.version) {
            let before = companions.len();
            companions.retain(|other| *other != key.part);
            was_companion |= companions.len() < before;
        }
        was_suspected || was_companion
    }

    fn queue_proof(&mut self, key: PartKey) {
        self.proofs.retain(|proof| proof.item != key);
        if self.proofs.len() >= MAX_OUTGOING {
            self.proofs.pop_front();
        }
        self.proofs.push_back(Outgoing { item: key, repeats: REPEATS });
    }

    fn add_evidence(&mut self, report: &CrashReport, at: Millis, now: Millis) {
        let settings = self.settings;
        let version = report.target.version;
        let at = self.ends.record(report, at, settings.group_ms);
        let mut parts = self.unsound(&report.parts, version, at);
        parts.truncate(MAX_REPORT_PARTS);
        let crash = Crash { target: report.target, at, parts: &parts };
        for part in &parts {
            let key = PartKey { part: *part, version };
            if let Some(held) = self.held.get_mut(&key) {
                held.companions.retain(|other| parts.contains(other));
                if held.targets.len() >= MAX_EXPLAINED {
                    held.targets.pop_front();
                }
                held.targets.push_back(report.target);
                continue;
            }
            if !self.suspects.contains_key(&key) {
                self.make_room(now);
            }
            let new_suspect = || SuspectPart::new(*part, &crash);
            let suspect = self.suspects.entry(key).or_insert_with(new_suspect);
            suspect.add(&crash, settings.group_ms);
        }
        let settles_at = at.saturating_add(settings.settle_ms);
        self.settles_at = Some(self.settles_at.map_or(settles_at, |first| first.min(settles_at)));
        self.judge_requests(now);
    }

    /// Judges requests, whose evidence is clear at once.
    fn judge_requests(&mut self, now: Millis) {
        self.judge(|key| is_request(key.part), now);
    }

    /// Judges the crashes of which all reports should be here.
    fn judge_settled(&mut self, now: Millis) {
        let QuarantineSettings { settle_ms, group_ms, .. } = self.settings;
        if self.settles_at.is_none_or(|at| now < at) {
            return;
        }
        let until = now.saturating_sub(settle_ms);
        for (key, suspect) in &mut self.suspects {
            let ends = &self.ends;
            suspect.settle(until, group_ms, |run, at| {
                ends.has_other_cause(key.part, run, at, group_ms)
            });
        }
        let unsettled_at = self.suspects.values().filter_map(SuspectPart::unsettled_at).min();
        self.settles_at = unsettled_at.map(|at| at.saturating_add(settle_ms));
        self.ends.forget_before(unsettled_at.unwrap_or(now).saturating_sub(group_ms));
        self.judge(|key| !is_request(key.part), now);
    }

    fn judge(&mut self, is_candidate: impl Fn(&PartKey) -> bool, now: Millis) {
        loop {
            let verdict = find_harmful(
                &self.suspects,
                &self.settings,
                // Without any complete response, nothing tells the part from the others.
                |key| is_candidate(key) && self.has_completed(key.version),
                |run| self.is_explained(run),
            );
            let Some(Verdict { key, crashes }) = verdict else { return };
            let Some(suspect) = self.suspects.remove(&key) else { return };
            let until = suspect.last_at().saturating_add(self.settings.hold_ms(0));
            let (targets, companions) = suspect.into_parts();
            let held = HeldPart { companions, trials: 0, until, targets };
            self.hold(key, held, crashes, now);
        }
    }

    fn has_completed(&self, version: VersionHash) -> bool {
        self.sound.has_version(version) || self.sound_requests.has_version(version)
    }

    /// Whether a target crashed under a prompt with a part in quarantine.
    fn is_explained(&self, target: TargetRun) -> bool {
        self.held.values().any(|held| held.targets.contains(&target))
    }

    fn merge_verdict(&mut self, verdict: PartVerdict, now: Millis) {
        let PartVerdict { key, companions, remaining, trials } = verdict;
        if self.is_sound(key, now) {
            // The peer has missed the proof.
            self.queue_proof(key);
            return;
        }
        let until = now.saturating_add(remaining.min(self.settings.max_hold_ms));
        if let Some(held) = self.held.get_mut(&key) {
            held.companions.retain(|other| companions.contains(other));
            if trials > held.trials {
                (held.trials, held.until) = (trials, until);
            }
            return;
        }
        // What is known of its crashes explains those of others.
        let targets = self.suspects.remove(&key).map(|s| s.into_parts().0).unwrap_or_default();
        let companions = self.unsound(&companions, key.version, now);
        let companions = companions.into_iter().take(MAX_REPORT_PARTS).collect();
        let held = HeldPart { companions, trials, until, targets };
        self.hold(key, held, 0, now);
    }

    fn hold(&mut self, key: PartKey, held: HeldPart, crashes: usize, now: Millis) {
        if self.held.len() >= self.settings.max_held {
            let first = self.held.iter().min_by_key(|(_, held)| held.until);
            if let Some(first) = first.map(|(key, _)| *key) {
                self.held.remove(&first);
            }
        }
        self.events.push(QuarantineEvent::Held {
            key,
            crashes,
            companions: held.companions.clone(),
            hold_ms: held.until.saturating_sub(now),
        });
        self.held.insert(key, held);
    }

    /// Removes the suspect with the least and oldest evidence if there are as many as
    /// allowed, so that prompts with new parts do not displace the part that they share.
    fn make_room(&mut self, now: Millis) {
        if self.suspects.len() < self.settings.max_suspects {
            return;
        }
        self.forget_old(now);
        if self.suspects.len() < self.settings.max_suspects {
            return;
        }
        let weakest = self.suspects.iter().min_by_key(|(_, s)| (s.crashes(), s.last_at()));
        if let Some(weakest) = weakest.map(|(key, _)| *key) {
            self.suspects.remove(&weakest);
        }
    }

    fn forget_old(&mut self, now: Millis) {
        let settings = self.settings;
        self.suspects.retain(|_, s| now.saturating_sub(s.last_at()) < settings.evidence_ms);
        self.held.retain(|_, held| now < held.until.saturating_add(settings.forget_ms));
    }
}

/// Takes up to `max_items` items, and queues those again that need more repeats.
fn take_repeats<T: Clone>(queue: &mut VecDeque<Outgoing<T>>, max_items: usize) -> Vec<T> {
    let count = queue.len().min(max_items);
    let mut items = Vec::with_capacity(count);
    for mut outgoing in queue.drain(..count).collect::<Vec<_>>() {
        items.push(outgoing.item.clone());
        outgoing.repeats -= 1;
        if outgoing.repeats > 0 {
            queue.push_back(outgoing);
        }
    }
    items
}
