//! Stand-in for a plain service: each call works for a while and echoes the
//! caller's `nonce`; runs are counted by nonce.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, types::State};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::Semaphore;

use crate::serve::{json, replica_address};

/// Settings of the plain service's replicas.
#[derive(Clone, Debug)]
pub(crate) struct PlainSettings {
    pub(crate) listen: SocketAddr,
    /// Replicas in this process, on consecutive ports.
    pub(crate) count: u64,
    /// Calls that run at once in one replica.
    pub(crate) slots: u64,
    /// Milliseconds that each call works.
    pub(crate) work_ms: u64,
}

#[derive(Default, Serialize)]
struct PlainStats {
    active: u64,
    waiting: u64,
    busy_ms: u64,
    /// How often each nonce ran.
    runs: BTreeMap<String, u64>,
    /// Closes the connection instead of answering, after the work ran.
    drop_answers: bool,
}

struct PlainReplica {
    settings: PlainSettings,
    slots: Semaphore,
    stats: Mutex<PlainStats>,
}

impl PlainReplica {
    fn stats(&self) -> MutexGuard<'_, PlainStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves every replica until the process ends.
///
/// # Errors
/// An address is taken.
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
                web::resource("/v1/load").route(web::get().to(load)),
                web::resource("/test/stats").route(web::get().to(stats)),
                web::resource("/test/drop").route(web::post().to(drop_answers)),
                web::resource("/{path}*").to(work),
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

async fn load(replica: State<Arc<PlainReplica>>) -> HttpResponse {
    let stats = replica.stats();
    json(&json!({
        "active": stats.active, "waiting": stats.waiting, "slots": replica.settings.slots,
    }))
}

async fn stats(replica: State<Arc<PlainReplica>>) -> HttpResponse {
    json(&*replica.stats())
}

/// The body is read, since closing a connection with unread bytes resets it and
/// may take the answer away.
async fn drop_answers(replica: State<Arc<PlainReplica>>, _body: Bytes) -> HttpResponse {
    replica.stats().drop_answers = true;
    HttpResponse::NoContent().finish()
}

async fn work(
    request: HttpRequest,
    replica: State<Arc<PlainReplica>>,
    body: Bytes,
) -> HttpResponse {
    let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let nonce = value["nonce"].as_str().unwrap_or_default().to_owned();
    replica.stats().waiting += 1;
    let permit = replica.slots.acquire().await;
    let runs = {
        let mut stats = replica.stats();
        stats.waiting -= 1;
        stats.active += 1;
        let runs = stats.runs.entry(nonce.clone()).or_default();
        *runs += 1;
        *runs
    };
    // The work goes on when the caller leaves, as a booking would.
    let job = Arc::clone(&replica);
    let work = ntex::rt::spawn(async move {
        if job.settings.work_ms > 0 {
            tokio::time::sleep(Duration::from_millis(job.settings.work_ms)).await;
        }
        let mut stats = job.stats();
        stats.active -= 1;
        stats.busy_ms += job.settings.work_ms;
    });
    let _ = work.await;
    drop(permit);
    if replica.stats().drop_answers {
        let cut = std::io::Error::other("answer dropped by the test");
        let chunks = futures_util::stream::iter([Err::<Bytes, _>(cut)]);
        return HttpResponse::Ok().streaming(chunks);
    }
    json(&json!({ "nonce": nonce, "path": request.path(), "runs": runs }))
}
