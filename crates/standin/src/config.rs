//! Stand-in for the platform: the configuration service (read and long-poll
//! watch) and the instance list, which may lag behind.
//!
//! Test controls live under `/test/`: they publish data, simulate an outage,
//! serve stale reads and count calls.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ntex::web::{self, App, HttpResponse, types::State};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::Notify;

use crate::serve::json_response;

/// The data that the stand-in serves and the faults that it simulates.
#[derive(Default, Deserialize, Serialize)]
struct PlatformState {
    revision: u64,
    document: String,
    instances: Value,
    /// Every read of the document is answered with status 503.
    down: bool,
    /// Delay before each read of the document is answered, in milliseconds.
    slow_ms: u64,
    /// Number of reads and watches of the document so far.
    calls: u64,
}

#[derive(Default)]
struct Platform {
    state: Mutex<PlatformState>,
    changed: Notify,
}

impl Platform {
    fn lock_state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Query of a request for the document.
#[derive(Deserialize)]
struct WatchQuery {
    /// A watch waits for a revision above this one.
    #[serde(default)]
    after: u64,
    /// Longest time that a watch waits, in milliseconds. 0 is a plain read, which
    /// is answered at once.
    #[serde(default)]
    wait_ms: u64,
}

/// Change of the served data or faults. Fields that are not set stay unchanged.
#[derive(Deserialize)]
struct PlatformChange {
    revision: Option<u64>,
    document: Option<String>,
    instances: Option<Value>,
    down: Option<bool>,
    slow_ms: Option<u64>,
}

/// Serves until the process ends.
///
/// # Errors
/// Returns an error if the address is already in use.
pub(crate) async fn serve(listen: SocketAddr) -> anyhow::Result<()> {
    let platform: Arc<Platform> = Arc::default();
    web::server(async move || {
        App::new()
            .state(Arc::clone(&platform))
            .state(web::types::JsonConfig::default().limit(4 << 20))
            .service((
                web::resource("/v1/document").route(web::get().to(get_document)),
                web::resource("/v1/instances").route(web::get().to(get_instances)),
                web::resource("/test/set").route(web::post().to(apply_change)),
                web::resource("/test/state").route(web::get().to(get_state)),
            ))
    })
    .workers(1)
    .bind(listen)?
    .run()
    .await?;
    Ok(())
}

async fn get_document(
    platform: State<Arc<Platform>>,
    query: web::types::Query<WatchQuery>,
) -> HttpResponse {
    let slow_ms = {
        let mut state = platform.lock_state();
        state.calls += 1;
        state.slow_ms
    };
    tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = platform.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        {
            let state = platform.lock_state();
            if state.down {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if state.revision > query.after || query.wait_ms == 0 {
                return json_response(&serde_json::json!({
                    "revision": state.revision,
                    "document": state.document,
                }));
            }
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return HttpResponse::NoContent().finish();
        }
    }
}

async fn get_instances(platform: State<Arc<Platform>>) -> HttpResponse {
    json_response(&platform.lock_state().instances)
}

async fn apply_change(
    platform: State<Arc<Platform>>,
    change: web::types::Json<PlatformChange>,
) -> HttpResponse {
    let change = change.into_inner();
    {
        let mut state = platform.lock_state();
        state.revision = change.revision.unwrap_or(state.revision);
        state.down = change.down.unwrap_or(state.down);
        state.slow_ms = change.slow_ms.unwrap_or(state.slow_ms);
        if let Some(document) = change.document {
            state.document = document;
        }
        if let Some(instances) = change.instances {
            state.instances = instances;
        }
    }
    platform.changed.notify_waiters();
    HttpResponse::NoContent().finish()
}

async fn get_state(platform: State<Arc<Platform>>) -> HttpResponse {
    json_response(&*platform.lock_state())
}
