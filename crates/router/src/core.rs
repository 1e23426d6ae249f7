//! State of the router: membership, document, queues and grants.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base::{Millis, Name, Origin};
use doc::{AcceptedDocument, ServiceSpec};
use fleet::{
    InstanceEntry, InstanceList, LeavingSet, MemberSettings, MemberTable, RevisionGate,
    RevisionVerdict,
};
use hdrhistogram::Histogram;
use share::{
    AllocationMode, AllocatorSettings, DemandSettings, DemandTracker, EnqueueOutcome, Grant, Push,
    Report, SlotAllocator, TargetInfo, WaitTicket,
};
use slotmap::{Key, KeyData, SlotMap, new_key_type};
use tokio::sync::oneshot;

use crate::decision::DecisionLog;
use crate::retries::RetryBudget;
use crate::settings::ShareMode;
use once::KeyStore;

/// Longest wait that is told apart, in milliseconds.
const LONGEST_WAIT: u64 = 600_000;

new_key_type! {
    /// A request that waits for a slot.
    pub(crate) struct WaitKey;
}

/// Both sides of one service at this router.
#[derive(Debug)]
pub(crate) struct ServiceDesk {
    pub(crate) book: DemandTracker,
    pub(crate) ledger: SlotAllocator,
    /// A report is under way; the next one waits for it.
    pub(crate) reporting: bool,
    pub(crate) reported_at: Millis,
    pub(crate) grantor: Name,
    /// Time that requests waited for a slot.
    pub(crate) waits_ms: Histogram<u64>,
}

impl ServiceDesk {
    fn new(origin: &Origin, service: &Name, settings: AllocatorSettings) -> Self {
        let book_settings = DemandSettings::default();
        Self {
            book: DemandTracker::new(origin.clone(), Name::clone(service), book_settings),
            ledger: SlotAllocator::new(origin.clone(), Name::clone(service), settings),
            reporting: false,
            reported_at: 0,
            grantor: Name::clone(&origin.instance),
            waits_ms: Histogram::new_with_max(LONGEST_WAIT, 2).unwrap_or_else(|_| {
                unreachable!("two digits up to {LONGEST_WAIT} are within the library's bounds")
            }),
        }
    }
}

/// The document in force.
#[derive(Clone, Debug)]
pub(crate) struct ForceDocument {
    pub(crate) accepted: Arc<AcceptedDocument>,
    pub(crate) text: Arc<str>,
    pub(crate) revision: u64,
    pub(crate) since: Millis,
}

/// Everything that the router knows; pure but for the waiting senders.
#[derive(Debug)]
pub(crate) struct RouterCore {
    pub(crate) members: MemberTable,
    pub(crate) gate: RevisionGate,
    pub(crate) force: Option<ForceDocument>,
    /// The last refused offer of a document, for the operators.
    pub(crate) last_refusal: Option<String>,
    pub(crate) list: InstanceList,
    pub(crate) leaving: LeavingSet,
    pub(crate) desks: BTreeMap<Name, ServiceDesk>,
    pub(crate) keys: KeyStore,
    pub(crate) decisions: DecisionLog,
    pub(crate) retries: RetryBudget,
    /// Peers that tests cut off.
    pub(crate) cut: BTreeSet<Name>,
    /// Peers to which a push is under way.
    /// By service and router.
    pub(crate) pushing: BTreeSet<(Name, Name)>,
    /// Peer whose document is newer than the own one.
    pub(crate) fetch_from: Option<Name>,
    pub(crate) draining: bool,
    /// Caller requests in progress, queued ones included.
    pub(crate) open_requests: usize,
    waiting: SlotMap<WaitKey, oneshot::Sender<Grant>>,
    mode: ShareMode,
}

impl RouterCore {
    pub(crate) fn new(origin: Origin, mode: ShareMode) -> Self {
        Self {
            members: MemberTable::new(origin.clone(), MemberSettings::default()),
            gate: RevisionGate::default(),
            force: None,
            last_refusal: None,
            list: InstanceList::default(),
            leaving: LeavingSet::default(),
            desks: BTreeMap::new(),
            keys: KeyStore::new(origin),
            decisions: DecisionLog::default(),
            retries: RetryBudget::default(),
            cut: BTreeSet::new(),
            pushing: BTreeSet::new(),
            fetch_from: None,
            draining: false,
            open_requests: 0,
            waiting: SlotMap::with_key(),
            mode,
        }
    }

    /// Takes an offered document; logs what became of it.
    pub(crate) fn offer_document(
        &mut self,
        revision: u64,
        text: &str,
        source: &str,
        now: Millis,
    ) -> RevisionVerdict {
        let digest = doc::digest_of(text);
        let mut accepted = None;
        let verdict = self.gate.offer(revision, &digest, || {
            accepted = Some(doc::accept(text).map_err(|refusal| refusal.to_string())?);
            Ok(())
        });
        match &verdict {
            RevisionVerdict::Known => {}
            RevisionVerdict::Accepted => {
                tracing::info!(unit = "config", event = "in_force", revision, source);
            }
            refused => {
                let cause = format!("revision {revision} from {source}: {refused:?}");
                if self.last_refusal.as_ref() != Some(&cause) {
                    tracing::warn!(unit = "config", event = "refused", revision, source, ?refused);
                }
                self.last_refusal = Some(cause);
            }
        }
        if let Some(accepted) = accepted {
            let accepted = Arc::new(accepted);
            self.force = Some(ForceDocument { accepted, text: text.into(), revision, since: now });
            self.refresh_desks();
        }
        verdict
    }

    /// Takes in the published list.
    pub(crate) fn hear_list(&mut self, list: InstanceList) {
        let new = self.leaving.apply_list(&list);
        log_leaving(&new, "list");
        if list == self.list {
            return;
        }
        self.members.apply_list(&list);
        self.list = list;
        self.refresh_desks();
    }

    /// Takes in what a peer knows as leaving.
    pub(crate) fn hear_leaving(&mut self, names: &[Name]) {
        let new = self.leaving.add_names(names);
        log_leaving(&new, "peer");
        if !new.is_empty() {
            self.refresh_desks();
        }
    }

    /// The document's entry of a service.
    pub(crate) fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.force.as_ref()?.accepted.document.services.get(name)
    }

    /// The published entry of a target that may get new work.
    pub(crate) fn target(&self, name: &str) -> Option<&InstanceEntry> {
        let entry = self.list.instances.iter().find(|entry| *entry.id == *name)?;
        (!self.leaving.contains(name)).then_some(entry)
    }

    /// Requests of an account that wait or are in progress here.
    pub(crate) fn demand_of(&self, account: &str) -> usize {
        let depths = self.desks.values().flat_map(|desk| desk.book.queue_depths());
        depths.filter(|(name, _)| ***name == *account).map(|(_, depth)| depth).sum()
    }

    /// Queues a request; the receiver gets its grant.
    pub(crate) fn enqueue(
        &mut self,
        service: &Name,
        account: &Name,
        now: Millis,
    ) -> Option<(WaitKey, oneshot::Receiver<Grant>)> {
        let desk = self.desks.get_mut(service)?;
        let (sender, receiver) = oneshot::channel();
        let key = self.waiting.insert(sender);
        let ticket = WaitTicket(key.data().as_ffi());
        match desk.book.enqueue(account, ticket, now) {
            EnqueueOutcome::Waiting => {}
            EnqueueOutcome::Dispatch(grant) => self.hand_over(ticket, grant),
            EnqueueOutcome::Full => {
                self.waiting.remove(key);
                return None;
            }
        }
        Some((key, receiver))
    }

    /// Takes a request out of its queue whose caller no longer waits.
    pub(crate) fn cancel(&mut self, service: &Name, account: &Name, key: WaitKey) {
        self.waiting.remove(key);
        if let Some(desk) = self.desks.get_mut(service) {
            desk.book.cancel(account, WaitTicket(key.data().as_ffi()));
        }
    }

    /// Takes in a grantor's message.
    pub(crate) fn receive_push(&mut self, push: Push, now: Millis) {
        let Some(desk) = self.desks.get_mut(&push.service) else { return };
        for (ticket, grant) in desk.book.receive(push, now) {
            self.hand_over(ticket, grant);
        }
    }

    /// Takes in a router's report, grants, and returns the answer to it.
    pub(crate) fn receive_report(&mut self, report: Report, now: Millis) -> Option<Push> {
        let desk = self.desks.get_mut(&report.service)?;
        let service = Name::clone(&report.service);
        let router = Name::clone(&report.from.instance);
        let seq = report.seq;
        desk.ledger.apply_report(report, now);
        self.pump(&service, Some(&router), now);
        Some(self.desks.get_mut(&service)?.ledger.build_reply(&router, seq, now))
    }

    /// Grants what can be granted, to `near` where that saves a message, and
    /// takes in this router's own grants.
    pub(crate) fn pump(&mut self, service: &Name, near: Option<&Name>, now: Millis) {
        let reached = self.members.reachable(now);
        let listed = self.members.listed_count();
        let me = Name::clone(&self.members.origin().instance);
        let Some(desk) = self.desks.get_mut(service) else { return };
        if self.mode == ShareMode::Granting {
            desk.ledger.set_reachable(&reached, listed, now);
        }
        desk.ledger.issue_grants_preferring(near, now);
        if let Some(push) = desk.ledger.take_push(&me) {
            self.receive_push(push, now);
        }
    }

    /// The grantor of a service as this router sees it.
    pub(crate) fn grantor_of(&self, service: &str, now: Millis) -> Name {
        match self.mode {
            ShareMode::Granting => self.members.grantor(service, now),
            ShareMode::Local | ShareMode::Gossip => Name::clone(&self.members.origin().instance),
        }
    }

    fn hand_over(&mut self, ticket: WaitTicket, grant: Grant) {
        let key = WaitKey::from(KeyData::from_ffi(ticket.0));
        let Some(sender) = self.waiting.remove(key) else {
            return;
        };
        // A receiver that is gone gives the grant back when it is dropped.
        let _ = sender.send(grant);
    }

    /// Brings desks in line with the document and the list.
    fn refresh_desks(&mut self) {
        let Some(force) = self.force.clone() else { return };
        let document = &force.accepted.document;
        let origin = self.members.origin().clone();
        let mode = self.part_mode();
        let weights: BTreeMap<Name, f64> = document
            .accounts
            .iter()
            .map(|(name, account)| (Name::clone(name), f64::from(account.weight)))
            .collect();
        for (name, spec) in &document.services {
            let settings = AllocatorSettings {
                first_estimate: f64::from(spec.max_cost) / 16.0,
                mode,
                ..AllocatorSettings::default()
            };
            let desk = self.desks.entry(Name::clone(name));
            let desk = desk.or_insert_with(|| ServiceDesk::new(&origin, name, settings));
            desk.book.set_max_queue(spec.queue as usize);
            desk.ledger.set_weights(weights.clone());
            let targets: Vec<TargetInfo> = self
                .list
                .targets(name)
                .map(|entry| TargetInfo {
                    name: Name::clone(&entry.id),
                    domain: Name::clone(&entry.domain),
                    slots: spec.slots,
                    leaving: self.leaving.contains(&entry.id),
                })
                .collect();
            let slots = targets.len() as f64 * f64::from(spec.slots);
            desk.ledger.set_max_lead(2.0 * slots * f64::from(spec.max_cost));
            desk.ledger.set_mode(mode);
            desk.ledger.set_targets(targets);
        }
        self.desks.retain(|name, _| document.services.contains_key(name));
    }

    fn part_mode(&self) -> AllocationMode {
        if self.mode == ShareMode::Granting {
            return AllocationMode::Granting;
        }
        let mut routers: Vec<&Name> = self.list.routers().map(|entry| &entry.id).collect();
        routers.sort();
        let me = &self.members.origin().instance;
        let index = routers.iter().position(|name| *name == me).unwrap_or(0);
        let count = routers.len().max(1);
        AllocationMode::Local {
            index: u32::try_from(index).unwrap_or(0),
            count: u32::try_from(count).unwrap_or(1),
        }
    }
}

fn log_leaving(names: &[Name], source: &str) {
    for name in names {
        tracing::info!(unit = "list", event = "leaving", instance = %name, source);
    }
}
