//! Orders engines to load the model versions that the document asks for.
//!
//! One router sends the orders for a service: the first reachable one by
//! rendezvous hashing. Two routers that both believe they are first assign the
//! same versions, and the fencing token makes engines refuse the orders of the
//! older document. If engines ignore the token, the next check detects and
//! corrects the result of an old order. The engines of services whose document
//! entry names no versions get no orders.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{Millis, Name, rank_candidates};
use futures_util::future::join_all;
use place::{
    EngineOrder, EngineReport, OrderSettings, assign_versions, fencing_token, plan_orders,
};
use serde::{Deserialize, Serialize};

use crate::client::TargetClient;
use crate::context::RouterContext;

/// Interval between checks of a service's engines, in milliseconds.
const PERIOD_MS: u64 = 2_000;
/// Timeout of a request to an engine, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;

#[derive(Deserialize)]
struct EngineState {
    serving: Option<Name>,
    loading: Option<Name>,
}

#[derive(Serialize)]
struct OrderMessage<'a> {
    fence: u64,
    model: &'a str,
}

/// Response to an order: any JSON object, whose content is ignored.
#[derive(Deserialize)]
struct OrderResponse {}

/// What the document and the instance list say about one service.
struct ServicePlan {
    service: Name,
    revision: u64,
    /// Number of serving replicas below which no order may take the service.
    floor: usize,
    /// Whether engines refuse orders with an old fencing token.
    fenced: bool,
    /// Model version assigned to each engine, by engine.
    assigned: BTreeMap<Name, Name>,
    engines: Vec<EngineAddress>,
}

struct EngineAddress {
    name: Name,
    domain: Name,
    address: SocketAddr,
}

/// Checks engines and sends orders until the process stops.
pub(crate) async fn run_placement(context: Arc<RouterContext>, client: TargetClient) {
    let mut ordered_at: BTreeMap<Name, Millis> = BTreeMap::new();
    loop {
        for plan in plan_own_services(&context) {
            place_service(&context, client, &plan, &mut ordered_at).await;
        }
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(PERIOD_MS)) => {}
            () = context.stop.cancelled() => return,
        }
    }
}

/// Returns a plan for each service whose engines this router orders.
fn plan_own_services(context: &RouterContext) -> Vec<ServicePlan> {
    let now = context.now();
    let core = context.core();
    let Some(active) = &core.active_document else { return Vec::new() };
    let alive = core.members.alive(now);
    let is_own = |service: &Name| {
        let first = rank_candidates(&format!("place/{service}"), &alive).into_iter().next();
        first == Some(&context.settings.instance)
    };
    let services = active.accepted.document.services.iter();
    let placed = services.filter(|(name, spec)| !spec.versions.is_empty() && is_own(name));
    let plan = |(name, spec): (&Name, &doc::ServiceSpec)| {
        let live = core.list.targets(name).filter(|entry| !core.leaving.contains(&entry.id));
        let engines: Vec<EngineAddress> = live
            .map(|entry| EngineAddress {
                name: Name::clone(&entry.id),
                domain: Name::clone(&entry.domain),
                address: entry.address,
            })
            .collect();
        let names: Vec<Name> = engines.iter().map(|engine| Name::clone(&engine.name)).collect();
        ServicePlan {
            service: Name::clone(name),
            revision: active.revision,
            floor: spec.floor as usize,
            fenced: spec.fenced,
            assigned: assign_versions(&spec.versions, &names),
            engines,
        }
    };
    placed.map(plan).collect()
}

async fn place_service(
    context: &RouterContext,
    client: TargetClient,
    plan: &ServicePlan,
    ordered_at: &mut BTreeMap<Name, Millis>,
) {
    let queries = plan.engines.iter().map(|engine| async move {
        let state = client.read::<EngineState>(engine.address, "/v1/state", TIMEOUT_MS).await;
        // An engine that does not respond counts as holding no model and gets
        // no order, as another router may soon be responsible for it.
        Some((engine, state.ok()??))
    });
    let states: Vec<(&EngineAddress, EngineState)> =
        join_all(queries).await.into_iter().flatten().collect();
    let reports: Vec<EngineReport> = states
        .iter()
        .map(|(engine, state)| EngineReport {
            engine: Name::clone(&engine.name),
            domain: Name::clone(&engine.domain),
            serving: state.serving.clone(),
            loading: state.loading.clone(),
            ordered_at: ordered_at.get(&engine.name).copied(),
        })
        .collect();
    let now = context.now();
    let mut settings = OrderSettings::default();
    if !plan.fenced {
        // Without fencing, a late order of an older document must be corrected
        // at the next check.
        settings.retry_after = PERIOD_MS;
    }
    // The process may have been paused since the engines were queried, and the
    // document may have changed.
    if context.core().revision_gate.revision() != plan.revision {
        return;
    }
    for order in plan_orders(&settings, &plan.assigned, &reports, plan.floor, |_| true, now) {
        ordered_at.insert(Name::clone(&order.engine), now);
        let engine = plan.engines.iter().find(|engine| engine.name == order.engine);
        if let Some(engine) = engine {
            send_order(client, plan, engine, &order, now).await;
        }
    }
}

async fn send_order(
    client: TargetClient,
    plan: &ServicePlan,
    engine: &EngineAddress,
    order: &EngineOrder,
    now: Millis,
) {
    let fence = fencing_token(plan.revision, now / 1_000);
    let message = OrderMessage { fence, model: &order.model };
    let sent: anyhow::Result<Option<OrderResponse>> =
        client.send(engine.address, "/v1/orders", &message, TIMEOUT_MS).await;
    tracing::info!(
        unit = "place",
        service = %plan.service,
        engine = %order.engine,
        model = %order.model,
        reason = ?order.reason,
        revision = plan.revision,
        fence,
        taken = sent.is_ok(),
    );
    if let Err(cause) = sent {
        tracing::warn!(unit = "place", event = "order_failed", cause = format!("{cause:#}"));
    }
}
