//! Stand-in for a plain service: each call takes a fixed time and echoes the
//! `nonce` of the request. The stand-in counts how often each nonce ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, types::State};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::Semaphore;

use crate::serve::{json_response, replica_address};

/// Settings of the replicas of the plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainSettings {
    pub(crate) listen: SocketAddr,
    /// Number of replicas in this process, on consecutive ports.
    pub(crate) count: u64,
    /// Number of calls that one replica runs at the same time.
    pub(crate) slots: u64,
    /// Duration of each call, in milliseconds.
    pub(crate) work_ms: u64,
}

#[derive(Default, Serialize)]
struct PlainStats {
    active: u64,
    waiting: u64,
    busy_ms: u64,
    /// Number of runs by nonce.
    runs: BTreeMap<String, u64>,
    /// Closes the connection instead of answering, after the call has run.
    drop_answers: bool,
}

struct PlainReplica {
    settings: PlainSettings,
    slots: Semaphore,
    stats: Mutex<PlainStats>,
}

impl PlainReplica {
    fn lock_stats(&self) -> MutexGuard<'_, PlainStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves every replica until the process ends.
///
/// # Errors
/// Returns an error if an address is already in use.
pub(crate) async fn serve(settings: PlainSettings) -> anyhow::Result<()> {
    let mut servers = Vec::new();
    for index in 0..settings.count {
        let replica = Arc::new(PlainReplica {
            settings: settings.clone(),
            slots: Semaphore::new(usize::try_from(settings.slots)?),
            stats: Mutex::default(),
        });
        let address = replica_address(settings.listen, index);
        let server = web::server(async move || {
            App::new().state(Arc::clone(&replica)).service((
                web::resource("/v1/load").route(web::get().to(get_load)),
                web::resource("/test/stats").route(web::get().to(get_stats)),
                web::resource("/test/drop").route(web::post().to(drop_answers)),
                web::resource("/{path}*").to(run_call),
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

async fn get_load(replica: State<Arc<PlainReplica>>) -> HttpResponse {
    let stats = replica.lock_stats();
    json_response(&json!({
        "active": stats.active, "waiting": stats.waiting, "slots": replica.settings.slots,
    }))
}

async fn get_stats(replica: State<Arc<PlainReplica>>) -> HttpResponse {
    json_response(&*replica.lock_stats())
}

/// Makes the replica drop the answers of later calls.
///
/// Reads the body, because closing a connection with unread bytes resets it,
/// and the reset may discard the response.
async fn drop_answers(replica: State<Arc<PlainReplica>>, _body: Bytes) -> HttpResponse {
    replica.lock_stats().drop_answers = true;
    HttpResponse::NoContent().finish()
}

async fn run_call(
    request: HttpRequest,
    replica: State<Arc<PlainReplica>>,
    body: Bytes,
) -> HttpResponse {
    let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let nonce = value["nonce"].as_str().unwrap_or_default().to_owned();
    replica.lock_stats().waiting += 1;
    let permit = replica.slots.acquire().await;
    let runs = {
        let mut stats = replica.lock_stats();
        stats.waiting -= 1;
        stats.active += 1;
        let runs = stats.runs.entry(nonce.clone()).or_default();
        *runs += 1;
        *runs
    };
    // The call continues when the caller disconnects, as a booking would.
    let task_replica = Arc::clone(&replica);
    let task = ntex::rt::spawn(async move {
        if task_replica.settings.work_ms > 0 {
            tokio::time::sleep(Duration::from_millis(task_replica.settings.work_ms)).await;
        }
        let mut stats = task_replica.lock_stats();
        stats.active -= 1;
        stats.busy_ms += task_replica.settings.work_ms;
    });
    let _ = task.await;
    drop(permit);
    if replica.lock_stats().drop_answers {
        let error = std::io::Error::other("answer dropped by a test control");
        let chunks = futures_util::stream::iter([Err::<Bytes, _>(error)]);
        return HttpResponse::Ok().streaming(chunks);
    }
    json_response(&json!({ "nonce": nonce, "path": request.path(), "runs": runs }))
}
