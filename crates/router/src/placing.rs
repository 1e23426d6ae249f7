//! Brings engines to the model versions that the document wants.
//!
//! One router orders a service's engines: the first reachable one by
//! rendezvous. Two that both believe so want the same, and the fencing number
//! makes the older document lose; where engines ignore the number, the next
//! look finds what an old order left and puts it right. Silent for services
//! whose document entry names no versions.

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

use crate::client::PlatformClient;
use crate::context::RouterContext;

/// Time between two looks at a service's engines, in milliseconds.
const PERIOD_MS: u64 = 2_000;
/// Time for an engine's answer, in milliseconds.
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

#[derive(Deserialize)]
struct OrderAnswer {}

/// What the document and the list say of one service.
struct ServicePlan {
    service: Name,
    revision: u64,
    floor: usize,
    /// Engines refuse orders with an old fencing number.
    fenced: bool,
    wanted: BTreeMap<Name, Name>,
    engines: Vec<EngineAddress>,
}

struct EngineAddress {
    name: Name,
    domain: Name,
    address: SocketAddr,
}

/// Runs until the process stops.
pub(crate) async fn run_placement(context: Arc<RouterContext>, platform: PlatformClient) {
    let mut ordered_at: BTreeMap<Name, Millis> = BTreeMap::new();
    loop {
        for plan in own_plans(&context) {
            place_service(&context, &platform, &plan, &mut ordered_at).await;
        }
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(PERIOD_MS)) => {}
            () = context.stop.cancelled() => return,
        }
    }
}

fn own_plans(context: &RouterContext) -> Vec<ServicePlan> {
    let now = context.now();
    let core = context.core();
    let Some(force) = &core.force else { return Vec::new() };
    let alive = core.members.alive(now);
    let is_own = |service: &Name| {
        let first = rank_candidates(&format!("place/{service}"), &alive).into_iter().next();
        first == Some(&context.settings.instance)
    };
    let services = force.accepted.document.services.iter();
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
            revision: force.revision,
            floor: spec.floor as usize,
            fenced: spec.fenced,
            wanted: assign_versions(&spec.versions, &names),
            engines,
        }
    };
    placed.map(plan).collect()
}

async fn place_service(
    context: &RouterContext,
    platform: &PlatformClient,
    plan: &ServicePlan,
    ordered_at: &mut BTreeMap<Name, Millis>,
) {
    let looks = plan.engines.iter().map(|engine| async move {
        let look = platform.read::<EngineState>(engine.address, "/v1/state", TIMEOUT_MS).await;
        // An engine that does not answer counts as holding nothing and is not
        // ordered, for its owner may be another soon.
        Some((engine, look.ok()??))
    });
    let looks: Vec<(&EngineAddress, EngineState)> =
        join_all(looks).await.into_iter().flatten().collect();
    let reports: Vec<EngineReport> = looks
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
        // A late order of an older document is put right at the next look.
        settings.retry_after = PERIOD_MS;
    }
    // A pause may lie between the look and now: the document may have moved on.
    if context.core().gate.revision() != plan.revision {
        return;
    }
    for order in plan_orders(&settings, &plan.wanted, &reports, plan.floor, |_| true, now) {
        ordered_at.insert(Name::clone(&order.engine), now);
        let engine = plan.engines.iter().find(|engine| engine.name == order.engine);
        if let Some(engine) = engine {
            send_order(platform, plan, engine, &order, now).await;
        }
    }
}

async fn send_order(
    platform: &PlatformClient,
    plan: &ServicePlan,
    engine: &EngineAddress,
    order: &EngineOrder,
    now: Millis,
) {
    let fence = fencing_token(plan.revision, now / 1_000);
    let message = OrderMessage { fence, model: &order.model };
    let sent: anyhow::Result<Option<OrderAnswer>> =
        platform.send(engine.address, "/v1/orders", &message, TIMEOUT_MS).await;
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
