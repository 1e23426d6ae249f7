//! Endpoints that tell callers which routers to use and issue idempotency keys.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Name;
use fleet::{AddressSettings, select_routers};
use ntex::web::types::State;
use ntex::web::{HttpRequest, HttpResponse};
use serde::Serialize;

use crate::caller::authenticate;
use crate::context::RouterContext;
use crate::refusal::{Refusal, RefusalCode};
use once::KEY_LIFETIME;

#[derive(Serialize)]
struct AddressResponse {
    addresses: Vec<RouterAddress>,
    /// Time for which callers may cache the response, in milliseconds.
    lease_ms: u64,
}

#[derive(Serialize)]
struct RouterAddress {
    instance: Name,
    address: SocketAddr,
}

#[derive(Serialize)]
struct IssuedKey {
    key: Name,
    /// The only router that accepts the key.
    instance: Name,
    lifetime_ms: u64,
}

/// `GET /v1/address`: returns the routers that the account's callers should
/// use.
pub(crate) async fn get_address(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
) -> HttpResponse {
    let id = context.next_request_id();
    let account = match authenticate(&context, &request, &id) {
        Ok(account) => account,
        Err(refusal) => return refusal.into_response(),
    };
    let now = context.now();
    let core = context.core();
    let settings = AddressSettings::default();
    let demand = core.demand_of(&account);
    let names = select_routers(&core.members, &settings, &account, demand, now);
    let entry = |name: &Name| {
        let found = core.list.routers().find(|entry| entry.id == *name);
        let own = (*name == context.settings.instance).then_some(context.settings.listen);
        let address = found.map(|entry| entry.address).or(own)?;
        Some(RouterAddress { instance: Name::clone(name), address })
    };
    let response = AddressResponse {
        addresses: names.iter().filter_map(entry).collect(),
        lease_ms: settings.lease,
    };
    HttpResponse::Ok().json(&response)
}

/// `POST /v1/keys`: issues a key for one call that must run at most once.
pub(crate) async fn post_key(
    context: State<Arc<RouterContext>>,
    request: HttpRequest,
) -> HttpResponse {
    let id = context.next_request_id();
    if let Err(refusal) = authenticate(&context, &request, &id) {
        return refusal.into_response();
    }
    let mut core = context.core();
    if core.draining {
        return Refusal::not_run(RefusalCode::Draining, &id).into_response();
    }
    let key = core.keys.issue(context.now());
    let instance = Name::clone(&context.settings.instance);
    HttpResponse::Ok().json(&IssuedKey { key, instance, lifetime_ms: KEY_LIFETIME })
}
