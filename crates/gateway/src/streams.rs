//! Streams that callers take up: tells holders which software version of the targets began each
//! one, and finds out which version began a stream that comes from another instance.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::{Millis, Name, Origin};
use cadence::prelude::*;
use mesh::MemberView;
use resume::{
    HolderPeer, LookupVerdict, ResumeDecision, StreamHolder, StreamKey, StreamLookup, StreamOrigin,
    StreamRecord, ToldHolders,
};
use slotmap::SlotMap;
use tokio::sync::oneshot;

use crate::call::RoutedCall;
use crate::context::GatewayContext;
use crate::messages::{OriginRequest, OriginResponse, PeerMessage};
use crate::refusal::{Refusal, RefusalCause};
use crate::send::TARGET_RETRY_MS;

/// Time that a request waits for holders: some round trips between failure domains, with routers
/// that are somewhat late.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which holders that did not answer are asked again, as datagrams may be lost.
const RESEND_AFTER: Duration = Duration::from_millis(40);
/// Time after which a holder that did not answer may be reached, in milliseconds.
const UNKNOWN_RETRY_MS: Millis = 500;
/// Time between two checks whether holders have to be told of open streams.
const WATCH_PERIOD: Duration = Duration::from_millis(200);
/// Largest number of streams in one message, so that it fits into a datagram.
const MAX_RECORDS: usize = 16;

slotmap::new_key_type! {
    /// Identifies an open stream.
    struct OpenStreamKey;
}

/// Streams of this router of which callers have the first event.
#[derive(Debug, Default)]
pub(crate) struct OpenStreams(SlotMap<OpenStreamKey, OpenStream>);

#[derive(Debug)]
struct OpenStream {
    record: StreamRecord,
    told: ToldHolders,
}

/// Counts a stream as open until the guard is dropped.
#[derive(Debug)]
pub(crate) struct BegunStream {
    context: Arc<GatewayContext>,
    key: OpenStreamKey,
}

impl BegunStream {
    /// Records what began a stream, before its first event is passed on. Holders are told unless
    /// every stream of the service begins at the same version.
    pub(crate) fn begin(context: &Arc<GatewayContext>, record: StreamRecord) -> Self {
        let now = context.now();
        let view_age = context.source().view_age(now);
        let must_tell = {
            let mut resumes = context.resumes();
            resumes.record(&record, now);
            resumes.must_tell(&record.origin.service, view_age, now)
        };
        let key =
            context.open_streams().0.insert(OpenStream { record, told: ToldHolders::default() });
        if must_tell {
            tell_holders(context, &[key]);
        }
        Self { context: Arc::clone(context), key }
    }
}

impl Drop for BegunStream {
    fn drop(&mut self) {
        self.context.open_streams().0.remove(self.key);
    }
}

/// Tells the holders of some open streams what began them, unless they know. Returns how many
/// messages that took.
fn tell_holders(context: &GatewayContext, keys: &[OpenStreamKey]) -> usize {
    let records: Vec<(OpenStreamKey, StreamRecord)> = {
        let streams = context.open_streams();
        let open = keys.iter().filter_map(|key| Some((*key, streams.0.get(*key)?.record.clone())));
        open.collect()
    };
    let holders: Vec<Vec<StreamHolder>> = {
        let resumes = context.resumes();
        records.iter().map(|(_, record)| resumes.holders(record.key)).collect()
    };
    let mut by_holder: BTreeMap<StreamHolder, Vec<(OpenStreamKey, StreamRecord)>> = BTreeMap::new();
    {
        let mut streams = context.open_streams();
        for ((key, record), holders) in records.iter().zip(holders) {
            let Some(stream) = streams.0.get_mut(*key) else { continue };
            for holder in stream.told.begin(holders) {
                by_holder.entry(holder).or_default().push((*key, record.clone()));
            }
        }
    }
    let mut sent = 0;
    for (holder, records) in by_holder {
        for part in records.chunks(MAX_RECORDS) {
            let records = part.iter().map(|(_, record)| record.clone()).collect();
            let message = PeerMessage::StreamsBegan(records);
            let is_sent = context.permits.send(holder.address, &message);
            sent += usize::from(is_sent);
            let mut streams = context.open_streams();
            for (key, _) in part {
                if let Some(stream) = streams.0.get_mut(*key) {
                    stream.told.record(holder, is_sent);
                }
            }
        }
    }
    sent
}

/// Tells holders again to which a message could not be sent.
fn tell_pending(context: &GatewayContext) {
    let pending: Vec<OpenStreamKey> = {
        let streams = context.open_streams();
        let pending = streams.0.iter().filter(|(_, open)| open.told.is_pending());
        pending.map(|(key, _)| key).collect()
    };
    tell_holders(context, &pending);
}

/// Returns the open streams of some services.
fn open_streams_of(context: &GatewayContext, services: &[Name]) -> Vec<OpenStreamKey> {
    let streams = context.open_streams();
    let open = streams.0.iter().filter(|(_, open)| services.contains(&open.record.origin.service));
    open.map(|(key, _)| key).collect()
}

/// Records what a peer says of streams.
pub(crate) fn record_streams(context: &GatewayContext, records: &[StreamRecord]) {
    let now = context.now();
    let mut resumes = context.resumes();
    records.iter().for_each(|record| resumes.record(record, now));
}

/// Updates which routers may be holders. Those that drain are soon gone.
pub(crate) fn update_holders(context: &GatewayContext) {
    let now = context.now();
    let peers: Vec<HolderPeer> = {
        let members = context.members();
        let live = members.live(now).filter(|view| !view.is_draining);
        let peer = |view: MemberView| {
            let Origin { instance, incarnation } = view.origin;
            HolderPeer::new(&instance, view.domain, view.addresses.beats, incarnation)
        };
        live.map(peer).collect()
    };
    context.resumes().set_peers(peers);
}

/// Updates which software versions the published targets have.
pub(crate) fn update_versions(context: &GatewayContext) {
    let now = context.now();
    let targets: Vec<(Name, Name)> = {
        let targets = context.targets();
        let known = targets.known();
        known
            .map(|entry| (Name::clone(&entry.service), Name::clone(&entry.software_version)))
            .collect()
    };
    let confirmed_at = context.source().confirmed_at();
    context.resumes().update_versions(targets.into_iter(), confirmed_at, now);
    tell_newly_uncertain(context);
}

/// Tells holders of the open streams of services whose streams no longer all begin at the same
/// version, or that a configuration moved, as far as this router knows.
pub(crate) fn tell_newly_uncertain(context: &GatewayContext) {
    let now = context.now();
    let view_age = context.source().view_age(now);
    let services = context.resumes().refresh(view_age, now);
    if services.is_empty() {
        return;
    }
    let open = open_streams_of(context, &services);
    tracing::info!(unit = "streams", event = "told", ?services, open = open.len(), view_age);
    tell_holders(context, &open);
}

/// Tells holders that are new, as peers came, went or started again, of the open streams that are
/// told. Routers that take a stream up ask the holders that they know then.
fn tell_new_holders(context: &GatewayContext) {
    let services = context.resumes().take_peer_change();
    let open = open_streams_of(context, &services);
    if open.is_empty() {
        return;
    }
    let messages = tell_holders(context, &open);
    tracing::info!(unit = "streams", event = "retold", open = open.len(), messages);
}

/// Checks from time to time whether holders have to be told, until the process stops.
pub(crate) async fn watch_streams(context: Arc<GatewayContext>) {
    while !context.shutdown.is_cancelled() {
        tell_newly_uncertain(&context);
        tell_new_holders(&context);
        tell_pending(&context);
        context.metrics.gauge("remembered_streams", context.resumes().record_count() as u64).ok();
        tokio::time::sleep(WATCH_PERIOD).await;
    }
}

/// A stream that a caller takes up.
#[derive(Clone, Debug)]
pub(crate) struct TakenUpStream {
    /// `None` if the caller does not name it.
    pub(crate) key: Option<StreamKey>,
    pub(crate) origin: StreamOrigin,
}

/// How it became known what began a stream.
#[derive(Clone, Copy, Debug)]
enum OriginSource {
    /// This router had a record of it, or has seen a single version.
    Own,
    Holders,
}

/// Returns the stream that a request takes up, `None` if it begins one or is no stream.
///
/// # Errors
/// Refuses the request if it is not known which version began the stream, or if its service no
/// longer serves the route.
pub(crate) async fn find_taken_up(
    context: &Arc<GatewayContext>,
    call: &RoutedCall,
) -> Result<Option<TakenUpStream>, Refusal> {
    let metadata = &call.received.metadata;
    let is_taken_up = metadata.resumed_id.is_some() || metadata.last_event_id.is_some();
    if !call.route.kind.is_resumable() || !is_taken_up {
        return Ok(None);
    }
    let account = call.account.as_deref();
    let key = metadata.resumed_id.as_deref().map(|id| StreamKey::new(account, id));
    let started_at = context.now();
    let view_age = context.source().view_age(started_at);
    let decision = context.resumes().decide(key, &call.service, view_age, started_at);
    let (verdict, source) = match decision {
        ResumeDecision::Began(origin) => (LookupVerdict::Began(origin), OriginSource::Own),
        ResumeDecision::Ambiguous => (LookupVerdict::Unknown, OriginSource::Own),
        ResumeDecision::Ask(holders) => {
            (look_up(context, key, &call.service, holders).await, OriginSource::Holders)
        }
    };
    let took_ms = context.now().saturating_sub(started_at);
    let observed_ms = context.resumes().observed_ms(started_at);
    let inputs = TakeUpInputs { learned: source, took_ms, view_age, observed_ms };
    log_taken_up(call, &verdict, inputs);
    let LookupVerdict::Began(origin) = verdict else {
        return Err(Refusal::retry_after(RefusalCause::StreamUnknown, UNKNOWN_RETRY_MS));
    };
    context.metrics.incr("streams_taken_up").ok();
    check_service(call, &origin)?;
    Ok(Some(TakenUpStream { key, origin }))
}

/// What a verdict on a stream that is taken up followed from, for the log.
#[derive(Clone, Copy, Debug)]
struct TakeUpInputs {
    learned: OriginSource,
    /// Time in milliseconds that the lookup took.
    took_ms: Millis,
    /// Age in milliseconds of this router's view of the targets.
    view_age: Option<Millis>,
    /// Time in milliseconds for which that view has been current.
    observed_ms: Millis,
}

fn log_taken_up(call: &RoutedCall, verdict: &LookupVerdict, inputs: TakeUpInputs) {
    let request = call.id();
    let resumed = call.received.metadata.resumed_id.as_deref();
    let service = &call.service;
    let TakeUpInputs { learned, took_ms, view_age, observed_ms } = inputs;
    match verdict {
        LookupVerdict::Began(StreamOrigin { version, .. }) => tracing::info!(
            unit = "streams",
            event = "taken_up",
            request,
            resumed,
            %service,
            %version,
            ?learned,
            took_ms,
            view_age,
            observed_ms,
        ),
        LookupVerdict::Unknown => tracing::info!(
            unit = "streams",
            event = "not_known",
            request,
            resumed,
            %service,
            ?learned,
            took_ms,
            view_age,
            observed_ms,
        ),
    }
}

fn check_service(call: &RoutedCall, origin: &StreamOrigin) -> Result<(), Refusal> {
    let is_served = call.route.split.iter().any(|part| part.service == origin.service);
    if is_served {
        return Ok(());
    }
    Err(Refusal::retry_after(RefusalCause::VersionGone, TARGET_RETRY_MS))
}

/// Lookups of this router that wait for holders.
#[derive(Debug, Default)]
pub(crate) struct OriginExchange {
    next_number: AtomicU64,
    waiters: Mutex<HashMap<u64, LookupWaiter>>,
}

#[derive(Debug)]
struct LookupWaiter {
    lookup: StreamLookup,
    /// Holders that have not answered.
    pending: Vec<SocketAddr>,
    sender: oneshot::Sender<LookupVerdict>,
}

impl OriginExchange {
    fn waiters(&self) -> MutexGuard<'_, HashMap<u64, LookupWaiter>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops waiting; returns what follows from the answers so far.
    fn conclude(&self, number: u64) -> LookupVerdict {
        let waiter = self.waiters().remove(&number);
        waiter.map_or(LookupVerdict::Unknown, |waiter| waiter.lookup.conclude())
    }

    fn pending(&self, number: u64) -> Vec<SocketAddr> {
        self.waiters().get(&number).map(|waiter| waiter.pending.clone()).unwrap_or_default()
    }
}

/// A lookup whose answers are awaited; dropping it stops that.
struct AwaitedLookup<'a> {
    exchange: &'a OriginExchange,
    number: u64,
}

impl Drop for AwaitedLookup<'_> {
    fn drop(&mut self) {
        self.exchange.waiters().remove(&self.number);
    }
}

/// Asks the holders of a stream what began it.
async fn look_up(
    context: &GatewayContext,
    key: Option<StreamKey>,
    service: &Name,
    holders: Vec<SocketAddr>,
) -> LookupVerdict {
    let now = context.now();
    let view_age = context.source().view_age(now);
    let own = context.resumes().answer(key, service, view_age, now);
    let lookup = StreamLookup::new(Name::clone(service), holders.len(), own);
    let Some(key) = key.filter(|_| !holders.is_empty()) else { return lookup.conclude() };
    let exchange = &context.origins;
    // Answers to an earlier incarnation have other numbers.
    let number = exchange.next_number.fetch_add(1, Ordering::Relaxed);
    let number = context.origin.incarnation.wrapping_add(number);
    let (sender, mut receiver) = oneshot::channel();
    let waiter = LookupWaiter { lookup, pending: holders, sender };
    exchange.waiters().insert(number, waiter);
    let _awaited = AwaitedLookup { exchange, number };
    let request = OriginRequest { number, key, service: Name::clone(service) };
    let request = PeerMessage::OriginRequest(request);
    for timeout in [RESEND_AFTER, LOOKUP_TIMEOUT.saturating_sub(RESEND_AFTER)] {
        for holder in exchange.pending(number) {
            context.permits.send(holder, &request);
        }
        if let Ok(Ok(verdict)) = tokio::time::timeout(timeout, &mut receiver).await {
            return verdict;
        }
    }
    exchange.conclude(number)
}

/// Tells a peer what this router knows of a stream.
pub(crate) fn answer_origin_request(
    context: &GatewayContext,
    request: &OriginRequest,
    peer: SocketAddr,
) {
    let OriginRequest { number, key, service } = request;
    let now = context.now();
    let view_age = context.source().view_age(now);
    let answer = context.resumes().answer(Some(*key), service, view_age, now);
    let response = OriginResponse { number: *number, answer };
    context.permits.send(peer, &PeerMessage::OriginResponse(response));
}

/// Passes the answer of a holder on to the request that waits for it.
pub(crate) fn handle_origin_response(
    context: &GatewayContext,
    response: OriginResponse,
    peer: SocketAddr,
) {
    let OriginResponse { number, answer } = response;
    let mut waiters = context.origins.waiters();
    let Some(waiter) = waiters.get_mut(&number) else { return };
    let Some(index) = waiter.pending.iter().position(|holder| *holder == peer) else { return };
    waiter.pending.swap_remove(index);
    let Some(verdict) = waiter.lookup.record(answer) else { return };
    if let Some(waiter) = waiters.remove(&number) {
        // The request may have ended meanwhile.
        let _ = waiter.sender.send(verdict);
    }
}
