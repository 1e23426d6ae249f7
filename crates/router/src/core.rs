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
    AllocationMode, AllocatorSettings, DemandReport, DemandSettings, DemandTracker, EnqueueOutcome,
    Grant, GrantPush, SlotAllocator, TargetInfo, WaitTicket,
};
use slotmap::{Key, KeyData, SlotMap, new_key_type};
use tokio::sync::oneshot;

use crate::decision::DecisionLog;
use crate::retries::RetryBudget;
use crate::settings::ShareMode;
use once::KeyStore;

/// Upper bound of the histogram of wait times, in milliseconds. Longer waits
/// are recorded as this value.
const MAX_RECORDED_WAIT: u64 = 600_000;

new_key_type! {
    /// Identifies a request that waits for a slot.
    pub(crate) struct WaitKey;
}

/// State of one service at this router: the demand of its own callers, and the
/// slots that it grants while it is the grantor.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) demand: DemandTracker,
    pub(crate) allocator: SlotAllocator,
    /// Whether a report has been sent and not yet answered. The next one waits
    /// until then.
    pub(crate) report_in_flight: bool,
    pub(crate) reported_at: Millis,
    pub(crate) grantor: Name,
    /// Times that requests waited for a slot, in milliseconds.
    pub(crate) waits_ms: Histogram<u64>,
}

impl ServiceState {
    fn new(origin: &Origin, service: &Name, settings: AllocatorSettings) -> Self {
        let demand_settings = DemandSettings::default();
        Self {
            demand: DemandTracker::new(origin.clone(), Name::clone(service), demand_settings),
            allocator: SlotAllocator::new(origin.clone(), Name::clone(service), settings),
            report_in_flight: false,
            reported_at: 0,
            grantor: Name::clone(&origin.instance),
            waits_ms: Histogram::new_with_max(MAX_RECORDED_WAIT, 2).unwrap_or_else(|_| {
                unreachable!("two digits up to {MAX_RECORDED_WAIT} are within the library's bounds")
            }),
        }
    }
}

/// The configuration document that this router currently applies.
#[derive(Clone, Debug)]
pub(crate) struct ActiveDocument {
    pub(crate) accepted: Arc<AcceptedDocument>,
    pub(crate) text: Arc<str>,
    pub(crate) revision: u64,
    pub(crate) since: Millis,
}

/// Shared mutable state of the router. It performs no network I/O; grants are
/// sent to the requests in `waiters`.
#[derive(Debug)]
pub(crate) struct RouterCore {
    pub(crate) members: MemberTable,
    pub(crate) revision_gate: RevisionGate,
    pub(crate) active_document: Option<ActiveDocument>,
    /// The last document that was refused and the reason, for operators.
    pub(crate) last_refusal: Option<String>,
    pub(crate) list: InstanceList,
    pub(crate) leaving: LeavingSet,
    pub(crate) services: BTreeMap<Name, ServiceState>,
    pub(crate) keys: KeyStore,
    pub(crate) decisions: DecisionLog,
    pub(crate) retries: RetryBudget,
    /// Peers to which a test has cut the link.
    pub(crate) cut_peers: BTreeSet<Name>,
    /// Pushes that have been sent and not yet answered, by service and router.
    pub(crate) pushes_in_flight: BTreeSet<(Name, Name)>,
    /// Peer that has a newer document than this router.
    pub(crate) fetch_from: Option<Name>,
    pub(crate) draining: bool,
    /// Callers' requests in progress, including queued ones.
    pub(crate) open_requests: usize,
    waiters: SlotMap<WaitKey, oneshot::Sender<Grant>>,
    mode: ShareMode,
}

impl RouterCore {
    pub(crate) fn new(origin: Origin, mode: ShareMode) -> Self {
        Self {
            members: MemberTable::new(origin.clone(), MemberSettings::default()),
            revision_gate: RevisionGate::default(),
            active_document: None,
            last_refusal: None,
            list: InstanceList::default(),
            leaving: LeavingSet::default(),
            services: BTreeMap::new(),
            keys: KeyStore::new(origin),
            decisions: DecisionLog::default(),
            retries: RetryBudget::default(),
            cut_peers: BTreeSet::new(),
            pushes_in_flight: BTreeSet::new(),
            fetch_from: None,
            draining: false,
            open_requests: 0,
            waiters: SlotMap::with_key(),
            mode,
        }
    }

    /// Checks a document and activates it if it is valid and newer than the
    /// current one. Logs the verdict unless the document is already known.
    pub(crate) fn offer_document(
        &mut self,
        revision: u64,
        text: &str,
        source: &str,
        now: Millis,
    ) -> RevisionVerdict {
        let digest = doc::digest_of(text);
        let mut accepted = None;
        let verdict = self.revision_gate.offer(revision, &digest, || {
            accepted = Some(doc::accept(text).map_err(|error| error.to_string())?);
            Ok(())
        });
        match &verdict {
            RevisionVerdict::Known => {}
            RevisionVerdict::Accepted => {
                tracing::info!(unit = "config", event = "in_force", revision, source);
            }
            refused => {
                let refusal = format!("revision {revision} from {source}: {refused:?}");
                if self.last_refusal.as_ref() != Some(&refusal) {
                    tracing::warn!(unit = "config", event = "refused", revision, source, ?refused);
                }
                self.last_refusal = Some(refusal);
            }
        }
        if let Some(accepted) = accepted {
            let accepted = Arc::new(accepted);
            self.active_document =
                Some(ActiveDocument { accepted, text: text.into(), revision, since: now });
            self.update_services();
        }
        verdict
    }

    /// Applies the published instance list.
    pub(crate) fn apply_list(&mut self, list: InstanceList) {
        let added = self.leaving.apply_list(&list);
        log_leaving(&added, "list");
        if list == self.list {
            return;
        }
        self.members.apply_list(&list);
        self.list = list;
        self.update_services();
    }

    /// Adds the instances that a peer knows to be leaving.
    pub(crate) fn merge_leaving(&mut self, names: &[Name]) {
        let added = self.leaving.add_names(names);
        log_leaving(&added, "peer");
        if !added.is_empty() {
            self.update_services();
        }
    }

    /// Returns the entry of a service in the active document.
    pub(crate) fn service_spec(&self, name: &str) -> Option<&ServiceSpec> {
        self.active_document.as_ref()?.accepted.document.services.get(name)
    }

    /// Returns the list entry of a target that may receive new requests, or
    /// `None` if the target is leaving or not listed.
    pub(crate) fn target_entry(&self, name: &str) -> Option<&InstanceEntry> {
        let entry = self.list.instances.iter().find(|entry| *entry.id == *name)?;
        (!self.leaving.contains(name)).then_some(entry)
    }

    /// Returns the number of an account's requests that wait at this router.
    pub(crate) fn demand_of(&self, account: &str) -> usize {
        let depths = self.services.values().flat_map(|state| state.demand.queue_depths());
        depths.filter(|(name, _)| ***name == *account).map(|(_, depth)| depth).sum()
    }

    /// Queues a request. The returned receiver gets its grant. Returns `None`
    /// if the service is unknown or the account's queue is full.
    pub(crate) fn enqueue(
        &mut self,
        service: &Name,
        account: &Name,
        now: Millis,
    ) -> Option<(WaitKey, oneshot::Receiver<Grant>)> {
        let state = self.services.get_mut(service)?;
        let (sender, receiver) = oneshot::channel();
        let key = self.waiters.insert(sender);
        let ticket = WaitTicket(key.data().as_ffi());
        match state.demand.enqueue(account, ticket, now) {
            EnqueueOutcome::Waiting => {}
            EnqueueOutcome::Dispatch(grant) => self.deliver_grant(ticket, grant),
            EnqueueOutcome::Full => {
                self.waiters.remove(key);
                return None;
            }
        }
        Some((key, receiver))
    }

    /// Removes a request from its queue because its caller no longer waits.
    pub(crate) fn cancel(&mut self, service: &Name, account: &Name, key: WaitKey) {
        self.waiters.remove(key);
        if let Some(state) = self.services.get_mut(service) {
            state.demand.cancel(account, WaitTicket(key.data().as_ffi()));
        }
    }

    /// Applies a push from a grantor and delivers the grants in it.
    pub(crate) fn receive_push(&mut self, push: GrantPush, now: Millis) {
        let Some(state) = self.services.get_mut(&push.service) else { return };
        for (ticket, grant) in state.demand.apply_push(push, now) {
            self.deliver_grant(ticket, grant);
        }
    }

    /// Applies a router's report, issues grants and returns the reply, or
    /// `None` if the service is unknown.
    pub(crate) fn receive_report(
        &mut self,
        report: DemandReport,
        now: Millis,
    ) -> Option<GrantPush> {
        let state = self.services.get_mut(&report.service)?;
        let service = Name::clone(&report.service);
        let router = Name::clone(&report.from.instance);
        let seq = report.seq;
        state.allocator.apply_report(report, now);
        self.issue_grants(&service, Some(&router), now);
        Some(self.services.get_mut(&service)?.allocator.build_reply(&router, seq, now))
    }

    /// Issues the grants of a service that are possible now, and delivers this
    /// router's own. Prefers the router `preferred` where that saves a message.
    pub(crate) fn issue_grants(&mut self, service: &Name, preferred: Option<&Name>, now: Millis) {
        let reachable = self.members.reachable(now);
        let listed = self.members.listed_count();
        let own_name = Name::clone(&self.members.origin().instance);
        let Some(state) = self.services.get_mut(service) else { return };
        if self.mode == ShareMode::Granting {
            state.allocator.set_reachable(&reachable, listed, now);
        }
        state.allocator.issue_grants_preferring(preferred, now);
        if let Some(push) = state.allocator.take_push(&own_name) {
            self.receive_push(push, now);
        }
    }

    /// Returns the grantor of a service, as far as this router knows.
    pub(crate) fn grantor_of(&self, service: &str, now: Millis) -> Name {
        match self.mode {
            ShareMode::Granting => self.members.grantor(service, now),
            ShareMode::Local | ShareMode::Gossip => Name::clone(&self.members.origin().instance),
        }
    }

    fn deliver_grant(&mut self, ticket: WaitTicket, grant: Grant) {
        let key = WaitKey::from(KeyData::from_ffi(ticket.0));
        let Some(sender) = self.waiters.remove(key) else {
            return;
        };
        // If the request is being cancelled, its `QueueEntry` returns the grant
        // on drop.
        let _ = sender.send(grant);
    }

    /// Updates the state of all services to match the active document and the
    /// instance list.
    fn update_services(&mut self) {
        let Some(active) = self.active_document.clone() else { return };
        let document = &active.accepted.document;
        let origin = self.members.origin().clone();
        let mode = self.allocation_mode();
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
            let state = self.services.entry(Name::clone(name));
            let state = state.or_insert_with(|| ServiceState::new(&origin, name, settings));
            state.demand.set_max_queue(spec.queue as usize);
            state.allocator.set_weights(weights.clone());
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
            state.allocator.set_max_lead(2.0 * slots * f64::from(spec.max_cost));
            state.allocator.set_mode(mode);
            state.allocator.set_targets(targets);
        }
        self.services.retain(|name, _| document.services.contains_key(name));
    }

    fn allocation_mode(&self) -> AllocationMode {
        if self.mode == ShareMode::Granting {
            return AllocationMode::Granting;
        }
        let mut routers: Vec<&Name> = self.list.routers().map(|entry| &entry.id).collect();
        routers.sort();
        let own_name = &self.members.origin().instance;
        let index = routers.iter().position(|name| *name == own_name).unwrap_or(0);
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
