//! Commands that show what routers know.

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
/// The answers have no JSON form.
pub(crate) fn status(fleet: &FleetArgs) -> anyhow::Result<CtlExit> {
    let (answers, exit) = fetch_reported(fleet, "/ops/v1/status");
    if fleet.json {
        print_line(&serde_json::to_string_pretty(&answers)?);
        return Ok(exit);
    }
    let rows: Vec<Vec<String>> = answers.iter().map(router_row).collect();
    let heading = ["router", "domain", "revision", "since s", "open", "state", "alive", "others"];
    print_table(&heading, &rows);
    for answer in &answers {
        if let Some(refusal) = answer["last_refusal"].as_str() {
            print_line(&format!("{}: refused document: {refusal}", text(&answer["instance"])));
        }
    }
    let services = answers.iter().flat_map(service_rows);
    let rows: Vec<Vec<String>> = services.collect();
    print_line("");
    print_table(&["service", "grantor", "used", "free", "waiting by account"], &rows);
    let targets: Vec<Vec<String>> = answers.iter().flat_map(target_rows).collect();
    print_line("");
    print_table(&["target", "state used/limit"], &targets);
    let shares: Vec<Vec<String>> = answers.iter().flat_map(share_rows).collect();
    print_line("");
    print_table(&["service", "account", "cost over weight"], &shares);
    Ok(exit)
}

/// Shows the routing decisions about one request.
///
/// # Errors
/// The answers have no JSON form.
pub(crate) fn explain(request: &str, fleet: &FleetArgs) -> anyhow::Result<CtlExit> {
    let (answers, _) = fetch_reported(fleet, &format!("/ops/v1/explain/{request}"));
    let decisions: Vec<&Value> = answers.iter().filter_map(Value::as_array).flatten().collect();
    if fleet.json {
        print_line(&serde_json::to_string_pretty(&decisions)?);
    } else {
        for decision in &decisions {
            print_line(&format!(
                "attempt {}: {} of {} went to {} by grant of {} ({}) after {} ms; {} were still \
                 waiting here; charged {} at dispatch",
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
        print_line(&format!("no router asked remembers request {request}"));
        return Ok(CtlExit::Negative);
    }
    Ok(CtlExit::Done)
}

/// Shows how long requests waited for a slot.
///
/// # Errors
/// The answers have no JSON form.
pub(crate) fn timings(fleet: &FleetArgs) -> anyhow::Result<CtlExit> {
    let (answers, exit) = fetch_reported(fleet, "/ops/v1/status");
    let mut rows = Vec::new();
    for answer in &answers {
        for (service, status) in answer["services"].as_object().into_iter().flatten() {
            let waits = &status["waits_ms"];
            let cells = [&waits["count"], &waits["p50"], &waits["p95"], &waits["p99"]];
            let mut row = vec![text(&answer["instance"]), service.clone()];
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

/// Tells the story of a request from log lines on standard input.
///
/// # Errors
/// The lines have no JSON form.
pub(crate) fn explain_logs(request: &str, is_json: bool) -> anyhow::Result<CtlExit> {
    let lines = logs::read_lines(std::io::stdin().lock());
    let story = logs::story(&lines, request);
    if is_json {
        print_line(&serde_json::to_string_pretty(&story)?);
    } else {
        story.iter().for_each(|line| print_line(&logs::describe(line)));
    }
    if story.is_empty() {
        print_line(&format!("no log line names request {request}"));
        return Ok(CtlExit::Negative);
    }
    Ok(CtlExit::Done)
}

/// Shows where time went, from log lines on standard input.
///
/// # Errors
/// The rows have no JSON form.
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

/// The answers that came; routers that did not answer are named on standard
/// error.
fn fetch_reported(fleet: &FleetArgs, path: &str) -> (Vec<Value>, CtlExit) {
    let mut exit = CtlExit::Done;
    let mut answers = Vec::new();
    for (router, answer) in fetch_all(fleet, path) {
        match answer {
            Ok(answer) => answers.push(answer),
            Err(cause) => {
                eprintln!("{router}: {cause:#}");
                exit = CtlExit::Negative;
            }
        }
    }
    if answers.is_empty() {
        exit = CtlExit::Unreachable;
    }
    (answers, exit)
}

fn router_row(answer: &Value) -> Vec<String> {
    let members = answer["members"].as_array().cloned().unwrap_or_default();
    let (alive, others): (Vec<&Value>, Vec<&Value>) =
        members.iter().partition(|member| member["standing"] == "alive");
    let other =
        |member: &&Value| format!("{} {}", text(&member["instance"]), text(&member["standing"]));
    let since_s = answer["revision_age_ms"].as_u64().map(|age| (age / 1_000).to_string());
    vec![
        text(&answer["instance"]),
        text(&answer["domain"]),
        answer["revision"].to_string(),
        since_s.unwrap_or_else(|| "-".into()),
        answer["open_requests"].to_string(),
        if answer["draining"] == true { "draining".into() } else { "serving".into() },
        alive.len().to_string(),
        others.iter().map(other).collect::<Vec<_>>().join(", "),
    ]
}

fn granted(answer: &Value) -> impl Iterator<Item = (&String, &Value)> {
    let services = answer["services"].as_object().into_iter().flatten();
    services.filter(|(_, status)| !status["granted"].is_null())
}

fn service_rows(answer: &Value) -> Vec<Vec<String>> {
    let row = |(service, status): (&String, &Value)| {
        let granted = &status["granted"];
        let waiting = granted["waiting"].as_object().into_iter().flatten();
        let waiting = waiting.map(|(account, depth)| format!("{account} {depth}"));
        vec![
            service.clone(),
            text(&answer["instance"]),
            granted["used"].to_string(),
            granted["free"].to_string(),
            waiting.collect::<Vec<_>>().join(", "),
        ]
    };
    granted(answer).map(row).collect()
}

fn target_rows(answer: &Value) -> Vec<Vec<String>> {
    let targets = granted(answer)
        .flat_map(|(_, status)| status["granted"]["targets"].as_object().into_iter().flatten());
    targets.map(|(target, state)| vec![target.clone(), text(state)]).collect()
}

fn share_rows(answer: &Value) -> Vec<Vec<String>> {
    let rows = granted(answer).flat_map(|(service, status)| {
        let costs = status["granted"]["virtual_cost"].as_object().into_iter().flatten();
        costs.map(move |(account, cost)| {
            let cost = cost.as_f64().unwrap_or(0.0);
            vec![service.clone(), account.clone(), format!("{cost:.1}")]
        })
    });
    rows.collect()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
