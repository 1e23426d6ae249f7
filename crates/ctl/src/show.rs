//! Commands that show the state of the routers and explain requests.

use serde_json::Value;

use crate::args::FleetArgs;
use crate::exit::CtlExit;
use crate::fetch::fetch_all;
use crate::logs;
use crate::output::print_line;
use crate::table::print_table;

/// Shows revisions, members, targets, backlog and shares.
///
/// # Errors
/// Returns an error if the responses can't be encoded as JSON.
pub(crate) fn status(fleet: &FleetArgs) -> anyhow::Result<CtlExit> {
    let (responses, exit) = fetch_responses(fleet, "/ops/v1/status");
    if fleet.json {
        print_line(&serde_json::to_string_pretty(&responses)?);
        return Ok(exit);
    }
    let rows: Vec<Vec<String>> = responses.iter().map(router_row).collect();
    let heading =
        ["router", "domain", "revision", "revision age s", "open", "state", "alive", "others"];
    print_table(&heading, &rows);
    for response in &responses {
        if let Some(refusal) = response["last_refusal"].as_str() {
            print_line(&format!("{}: refused document: {refusal}", text(&response["instance"])));
        }
    }
    let services = responses.iter().flat_map(service_rows);
    let rows: Vec<Vec<String>> = services.collect();
    print_line("");
    print_table(&["service", "grantor", "used", "free", "waiting by account"], &rows);
    let targets: Vec<Vec<String>> = responses.iter().flat_map(target_rows).collect();
    print_line("");
    print_table(&["target", "state used/limit"], &targets);
    let shares: Vec<Vec<String>> = responses.iter().flat_map(share_rows).collect();
    print_line("");
    print_table(&["service", "account", "cost over weight"], &shares);
    Ok(exit)
}

/// Shows the routing decisions about one request.
///
/// # Errors
/// Returns an error if the responses can't be encoded as JSON.
pub(crate) fn explain(request: &str, fleet: &FleetArgs) -> anyhow::Result<CtlExit> {
    let (responses, _) = fetch_responses(fleet, &format!("/ops/v1/explain/{request}"));
    let decisions: Vec<&Value> = responses.iter().filter_map(Value::as_array).flatten().collect();
    if fleet.json {
        print_line(&serde_json::to_string_pretty(&decisions)?);
    } else {
        for decision in &decisions {
            print_line(&format!(
                "attempt {}: account {}, service {}, sent to target {} by grant of {} ({}) after \
                 {} ms; {} requests still waiting at the router; charged {} at dispatch",
                decision["attempt"],
                text(&decision["account"]),
                text(&decision["service"]),
                text(&decision["target"]),
                text(&decision["grantor"]),
                text(&decision["reason"]),
                decision["waited_ms"],
                decision["still_waiting"],
                decision["estimate"]
            ));
        }
    }
    if decisions.is_empty() {
        print_line(&format!("no queried router has a decision about request {request}"));
        return Ok(CtlExit::Negative);
    }
    Ok(CtlExit::Done)
}

/// Shows how long requests waited for a slot, as the routers measured it.
///
/// # Errors
/// Returns an error if the responses can't be encoded as JSON.
pub(crate) fn timings(fleet: &FleetArgs) -> anyhow::Result<CtlExit> {
    let (responses, exit) = fetch_responses(fleet, "/ops/v1/status");
    let mut rows = Vec::new();
    for response in &responses {
        for (service, status) in response["services"].as_object().into_iter().flatten() {
            let waits = &status["waits_ms"];
            let cells = [&waits["count"], &waits["p50"], &waits["p95"], &waits["p99"]];
            let mut row = vec![text(&response["instance"]), service.clone()];
            row.extend(cells.map(ToString::to_string));
            rows.push(row);
        }
    }
    if fleet.json {
        print_line(&serde_json::to_string_pretty(&rows)?);
    } else {
        print_table(&["router", "service", "requests", "p50 ms", "p95 ms", "p99 ms"], &rows);
    }
    Ok(exit)
}

/// Explains a request from log lines on standard input.
///
/// # Errors
/// Returns an error if the lines can't be encoded as JSON.
pub(crate) fn explain_logs(request: &str, is_json: bool) -> anyhow::Result<CtlExit> {
    let lines = logs::read_lines(std::io::stdin().lock());
    let trace = logs::trace_request(&lines, request);
    if is_json {
        print_line(&serde_json::to_string_pretty(&trace)?);
    } else {
        trace.iter().for_each(|line| print_line(&logs::describe(line)));
    }
    if trace.is_empty() {
        print_line(&format!("no log line names request {request}"));
        return Ok(CtlExit::Negative);
    }
    Ok(CtlExit::Done)
}

/// Shows the latency of requests from log lines on standard input.
///
/// # Errors
/// Returns an error if the rows can't be encoded as JSON.
pub(crate) fn timings_logs(is_json: bool) -> anyhow::Result<CtlExit> {
    let lines = logs::read_lines(std::io::stdin().lock());
    let rows = logs::timings(&lines);
    if is_json {
        print_line(&serde_json::to_string_pretty(&rows)?);
        return Ok(CtlExit::Done);
    }
    let cells = rows.iter().map(|row| {
        let first = row
            .first_ms
            .map_or(("-".into(), "-".into()), |(p50, p99)| (p50.to_string(), p99.to_string()));
        let took = (row.took_ms.0.to_string(), row.took_ms.1.to_string());
        let requests = row.requests.to_string();
        vec![row.route.clone(), row.end.clone(), requests, first.0, first.1, took.0, took.1]
    });
    let cells: Vec<Vec<String>> = cells.collect();
    let heading = ["route", "end", "requests", "first p50 ms", "p99", "took p50 ms", "p99"];
    print_table(&heading, &cells);
    Ok(CtlExit::Done)
}

/// Returns the responses and the exit code that follows from them. Routers that
/// did not respond are printed to standard error.
fn fetch_responses(fleet: &FleetArgs, path: &str) -> (Vec<Value>, CtlExit) {
    let mut exit = CtlExit::Done;
    let mut responses = Vec::new();
    for (router, response) in fetch_all(fleet, path) {
        match response {
            Ok(response) => responses.push(response),
            Err(cause) => {
                eprintln!("{router}: {cause:#}");
                exit = CtlExit::Negative;
            }
        }
    }
    if responses.is_empty() {
        exit = CtlExit::Unreachable;
    }
    (responses, exit)
}

fn router_row(response: &Value) -> Vec<String> {
    let members = response["members"].as_array().cloned().unwrap_or_default();
    let (alive, others): (Vec<&Value>, Vec<&Value>) =
        members.iter().partition(|member| member["standing"] == "alive");
    let describe_member =
        |member: &&Value| format!("{} {}", text(&member["instance"]), text(&member["standing"]));
    let age_s = response["revision_age_ms"].as_u64().map(|age| (age / 1_000).to_string());
    vec![
        text(&response["instance"]),
        text(&response["domain"]),
        response["revision"].to_string(),
        age_s.unwrap_or_else(|| "-".into()),
        response["open_requests"].to_string(),
        if response["draining"] == true { "draining".into() } else { "serving".into() },
        alive.len().to_string(),
        others.iter().map(describe_member).collect::<Vec<_>>().join(", "),
    ]
}

/// Returns the services whose grantor is the responding router.
fn granted_services(response: &Value) -> impl Iterator<Item = (&String, &Value)> {
    let services = response["services"].as_object().into_iter().flatten();
    services.filter(|(_, status)| !status["granted"].is_null())
}

fn service_rows(response: &Value) -> Vec<Vec<String>> {
    let row = |(service, status): (&String, &Value)| {
        let granted = &status["granted"];
        let waiting = granted["waiting"].as_object().into_iter().flatten();
        let waiting = waiting.map(|(account, depth)| format!("{account} {depth}"));
        vec![
            service.clone(),
            text(&response["instance"]),
            granted["used"].to_string(),
            granted["free"].to_string(),
            waiting.collect::<Vec<_>>().join(", "),
        ]
    };
    granted_services(response).map(row).collect()
}

fn target_rows(response: &Value) -> Vec<Vec<String>> {
    let targets = granted_services(response)
        .flat_map(|(_, status)| status["granted"]["targets"].as_object().into_iter().flatten());
    targets.map(|(target, state)| vec![target.clone(), text(state)]).collect()
}

fn share_rows(response: &Value) -> Vec<Vec<String>> {
    let rows = granted_services(response).flat_map(|(service, status)| {
        let costs = status["granted"]["virtual_cost"].as_object().into_iter().flatten();
        costs.map(move |(account, cost)| {
            let cost = cost.as_f64().unwrap_or(0.0);
            vec![service.clone(), account.clone(), format!("{cost:.1}")]
        })
    });
    rows.collect()
}

/// Returns the contents of a JSON string, or an empty string for another value.
fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
