//! Stand-in for a model engine: continuous batching without priorities, token
//! streams as server-sent events, a load report that lags behind, and orders
//! that carry a fencing token.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ntex::util::Bytes;
use ntex::web::{self, App, HttpResponse, types::State};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Semaphore;

use crate::serve::{json_response, replica_address};

/// Interval at which waiting tasks check the state of the engine, in
/// milliseconds.
const POLL_MS: u64 = 10;

/// Settings of the engine replicas.
#[derive(Clone, Debug)]
pub(crate) struct EngineSettings {
    pub(crate) listen: SocketAddr,
    /// Number of replicas in this process, on consecutive ports.
    pub(crate) count: u64,
    /// Number of streams that one replica batches at the same time.
    pub(crate) slots: u64,
    /// Time between two tokens of a stream, in milliseconds.
    pub(crate) token_ms: u64,
    /// Age at which the load report is refreshed, in milliseconds; until then it
    /// may be outdated.
    pub(crate) report_ms: u64,
    /// Time to load a model, in milliseconds.
    pub(crate) load_ms: u64,
    /// Model that every replica serves at the start; empty for none.
    pub(crate) model: String,
    /// Accepts orders with an outdated fencing token too.
    pub(crate) ignore_fence: bool,
}

#[derive(Clone, Copy, Default, Serialize)]
struct LoadReport {
    active: u64,
    waiting: u64,
    slots: u64,
    /// Whether a model is being served; false while one is being loaded.
    ready: bool,
}

#[derive(Default, Serialize)]
struct EngineStats {
    load: LoadReport,
    /// Number of active streams integrated over time, in stream milliseconds.
    busy_ms: f64,
    /// Time up to which `busy_ms` is counted.
    #[serde(skip)]
    counted_at: Option<Instant>,
    /// Number of tokens produced.
    tokens: u64,
    /// Number of started streams by nonce, including resumed ones.
    runs: BTreeMap<String, u64>,
    /// Breaks each new stream after this many tokens.
    break_after: Option<u64>,
    /// Answers new requests with bytes that are not an event instead of a stream.
    garbage: bool,
    /// What the engine does with streams that it is to resume.
    resume: ResumeFault,
    /// Fencing token of the last accepted order.
    fence: u64,
    /// Model that is being served, if any.
    serving: Option<String>,
    /// Model that is being loaded, if any.
    loading: Option<String>,
    /// Number of accepted orders.
    orders: u64,
}

struct EngineReplica {
    settings: EngineSettings,
    slots: Semaphore,
    stats: Mutex<EngineStats>,
    /// The published load report and the time at which it was taken.
    last_report: Mutex<(Instant, LoadReport)>,
}

impl EngineStats {
    /// Updates `busy_ms` to the current time. Must be called before `active`
    /// changes.
    fn update_busy_ms(&mut self) {
        let now = Instant::now();
        let since = self.counted_at.replace(now).unwrap_or(now);
        let elapsed_ms = now.duration_since(since).as_secs_f64() * 1_000.0;
        self.busy_ms += elapsed_ms * self.load.active as f64;
    }
}

impl EngineReplica {
    fn lock_stats(&self) -> MutexGuard<'_, EngineStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Clone, Debug, Deserialize)]
struct GenerateRequest {
    nonce: String,
    tokens: u64,
    #[serde(default)]
    resume_from: u64,
}

/// What an engine does with a stream that it is to resume.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum ResumeFault {
    /// Goes on with the token that it was asked for.
    #[default]
    None,
    /// Begins again with the first token.
    Repeat,
    /// Begins again with the first token of another generation.
    Regenerate,
    /// Leaves out two tokens.
    Skip,
    /// Ends the stream without a token.
    End,
}

#[derive(Deserialize)]
struct EngineFault {
    break_after: Option<u64>,
    #[serde(default)]
    garbage: bool,
    #[serde(default)]
    resume: ResumeFault,
}

#[derive(Deserialize)]
struct EngineOrder {
    fence: u64,
    model: String,
}

/// Serves every replica until the process ends.
///
/// # Errors
/// Returns an error if an address is already in use.
pub(crate) async fn serve(settings: EngineSettings) -> anyhow::Result<()> {
    let mut servers = Vec::new();
    for index in 0..settings.count {
        let replica = Arc::new(EngineReplica {
            settings: settings.clone(),
            slots: Semaphore::new(usize::try_from(settings.slots)?),
            stats: Mutex::new(EngineStats {
                serving: Some(settings.model.clone()).filter(|model| !model.is_empty()),
                ..EngineStats::default()
            }),
            last_report: Mutex::new((Instant::now(), LoadReport::default())),
        });
        let address = replica_address(settings.listen, index);
        let server = web::server(async move || {
            App::new().state(Arc::clone(&replica)).service((
                web::resource("/v1/generate").route(web::post().to(generate)),
                web::resource("/v1/load").route(web::get().to(get_load)),
                web::resource("/v1/orders").route(web::post().to(accept_order)),
                web::resource("/v1/state").route(web::get().to(get_state)),
                web::resource("/test/stats").route(web::get().to(get_stats)),
                web::resource("/test/fault").route(web::post().to(set_fault)),
            ))
        })
        .workers(1)
        .bind(address)?
        .run();
        servers.push(server);
    }
    for server in servers {
        server.await?;
    }
    Ok(())
}

async fn get_load(replica: State<Arc<EngineReplica>>) -> HttpResponse {
    let current = {
        let stats = replica.lock_stats();
        LoadReport { ready: stats.serving.is_some(), ..stats.load }
    };
    let mut last_report = replica.last_report.lock().unwrap_or_else(PoisonError::into_inner);
    if last_report.0.elapsed() >= Duration::from_millis(replica.settings.report_ms) {
        *last_report = (Instant::now(), current);
    }
    last_report.1.slots = replica.settings.slots;
    json_response(&last_report.1)
}

async fn get_stats(replica: State<Arc<EngineReplica>>) -> HttpResponse {
    let mut stats = replica.lock_stats();
    stats.update_busy_ms();
    json_response(&*stats)
}

async fn set_fault(
    replica: State<Arc<EngineReplica>>,
    fault: web::types::Json<EngineFault>,
) -> HttpResponse {
    let mut stats = replica.lock_stats();
    stats.break_after = fault.break_after;
    stats.garbage = fault.garbage;
    stats.resume = fault.resume;
    HttpResponse::NoContent().finish()
}

async fn accept_order(
    replica: State<Arc<EngineReplica>>,
    order: web::types::Json<EngineOrder>,
) -> HttpResponse {
    let order = order.into_inner();
    let mut stats = replica.lock_stats();
    if order.fence < stats.fence && !replica.settings.ignore_fence {
        return HttpResponse::Conflict().json(&json!({ "fence": stats.fence }));
    }
    stats.fence = order.fence;
    stats.orders += 1;
    if stats.serving.as_ref() != Some(&order.model) || stats.loading.is_some() {
        stats.serving = None;
        stats.loading = Some(order.model.clone());
        ntex::rt::spawn(load_model(Arc::clone(&replica), order.model));
    }
    json_response(&json!({ "fence": stats.fence }))
}

/// Waits for the active streams to end, then loads the model. The model is not
/// served if the latest order asks for another one.
async fn load_model(replica: Arc<EngineReplica>, model: String) {
    while replica.lock_stats().load.active > 0 {
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    tokio::time::sleep(Duration::from_millis(replica.settings.load_ms)).await;
    let mut stats = replica.lock_stats();
    if stats.loading.as_ref() == Some(&model) {
        stats.loading = None;
        stats.serving = Some(model);
    }
}

async fn get_state(replica: State<Arc<EngineReplica>>) -> HttpResponse {
    let stats = replica.lock_stats();
    json_response(&json!({
        "fence": stats.fence, "serving": stats.serving, "loading": stats.loading,
    }))
}

/// Counts a stream as active until it is dropped, which also frees its slot.
struct ActiveStream {
    replica: Arc<EngineReplica>,
}

impl Drop for ActiveStream {
    fn drop(&mut self) {
        let mut stats = self.replica.lock_stats();
        stats.update_busy_ms();
        stats.load.active -= 1;
        drop(stats);
        self.replica.slots.add_permits(1);
    }
}

/// Counts a request as waiting until it gets a slot or its caller disconnects.
struct WaitingRequest(Arc<EngineReplica>);

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.0.lock_stats().load.waiting -= 1;
    }
}

/// Waits until a model is served and a slot is free, then starts a stream.
async fn start_stream(replica: &Arc<EngineReplica>, request: &GenerateRequest) -> ActiveStream {
    replica.lock_stats().load.waiting += 1;
    let waiting = WaitingRequest(Arc::clone(replica));
    while replica.lock_stats().serving.is_none() {
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    if let Ok(permit) = replica.slots.acquire().await {
        permit.forget();
    }
    drop(waiting);
    let mut stats = replica.lock_stats();
    stats.update_busy_ms();
    stats.load.active += 1;
    *stats.runs.entry(request.nonce.clone()).or_default() += 1;
    ActiveStream { replica: Arc::clone(replica) }
}

async fn generate(replica: State<Arc<EngineReplica>>, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<GenerateRequest>(&body) else {
        return HttpResponse::BadRequest().json(&json!({ "error": "bad request" }));
    };
    let active = start_stream(&replica, &request).await;
    if replica.lock_stats().garbage {
        return HttpResponse::Ok().content_type("text/event-stream").body("\u{1}garbage\n\n");
    }
    let tokens = token_stream(active, request);
    HttpResponse::Ok().content_type("text/event-stream").streaming(tokens)
}

type TokenResult = Result<Bytes, std::io::Error>;

fn token_stream(
    active: ActiveStream,
    request: GenerateRequest,
) -> impl futures_util::Stream<Item = TokenResult> + Unpin {
    let (break_after, fault) = {
        let stats = active.replica.lock_stats();
        (stats.break_after, stats.resume)
    };
    let fault = if request.resume_from > 0 { fault } else { ResumeFault::None };
    let next = match fault {
        ResumeFault::None => request.resume_from,
        ResumeFault::Repeat | ResumeFault::Regenerate => 0,
        ResumeFault::Skip => request.resume_from + 2,
        ResumeFault::End => request.tokens,
    };
    let break_at = break_after.filter(|_| fault == ResumeFault::None).map(|count| next + count);
    let label = if fault == ResumeFault::Regenerate { "again-" } else { "" };
    let state = (active, request, next);
    Box::pin(futures_util::stream::unfold(state, move |(active, request, next)| async move {
        if next > request.tokens {
            return None;
        }
        if break_at == Some(next) {
            let error = std::io::Error::other("stream broken by the test");
            return Some((Err(error), (active, request, u64::MAX)));
        }
        if next == request.tokens {
            return Some((Ok(Bytes::from("data: [DONE]\n\n")), (active, request, u64::MAX)));
        }
        tokio::time::sleep(Duration::from_millis(active.replica.settings.token_ms)).await;
        active.replica.lock_stats().tokens += 1;
        let event: Value = json!({ "i": next, "t": format!("{}-{label}{next} ", request.nonce) });
        Some((Ok(Bytes::from(format!("data: {event}\n\n"))), (active, request, next + 1)))
    }))
}
