//! Tests of configuration changes, leaving targets, drain, faults and version
//! changes.

use std::time::Duration;

use crate::fixture::{ACCOUNT, APP, IDEMPOTENT_PATH, MODEL, with_fleet, with_plan};
use bench::{CallEnd, FleetPlan};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

fn revision_is(revision: u64) -> impl Fn(&Value) -> bool {
    move |status| status["revision"] == revision
}

#[test]
fn highest_accepted_revision_is_active_and_never_reverts() {
    with_fleet(3, |mut fleet, caller| async move {
        let text = fleet.plan.site.document().to_owned();
        let heavier = text.replace("\"weight\": 3", "\"weight\": 4");
        let publish =
            |revision: u64, document: &str| json!({ "revision": revision, "document": document });
        fleet.set_platform(&caller, &publish(5, &heavier)).await?;
        for index in 0..3 {
            fleet.wait_for_status(&caller, index, revision_is(5)).await?;
        }
        for (revision, document, verdict) in [
            (4, text.as_str(), "Stale"),
            (5, text.as_str(), "Conflict"),
            (6, "{ \"team\": 1 }", "Invalid"),
        ] {
            fleet.set_platform(&caller, &publish(revision, document)).await?;
            // A restarted router reads the document that the service has now.
            fleet.kill(0);
            fleet.restart(0)?;
            fleet.wait_for_routers(&caller).await?;
            for index in 0..3 {
                fleet.wait_for_status(&caller, index, revision_is(5)).await?;
            }
            let refused = |status: &Value| status["last_refusal"].to_string().contains(verdict);
            // The watching routers see the refused document with their next read.
            if verdict == "Invalid" {
                fleet.wait_for_status(&caller, 1, refused).await?;
            }
        }
        fleet.set_platform(&caller, &publish(7, &text)).await?;
        for index in 0..3 {
            fleet.wait_for_status(&caller, index, revision_is(7)).await?;
        }
        Ok(())
    });
}

#[test]
fn router_started_while_the_service_is_down_gets_the_document_from_peers() {
    with_fleet(3, |mut fleet, caller| async move {
        fleet.set_platform(&caller, &json!({ "down": true })).await?;
        fleet.kill(1);
        fleet.restart(1)?;
        fleet.wait_for_status(&caller, 1, revision_is(1)).await?;
        // A router without peers has no document and refuses calls with that reason.
        (0..3).for_each(|index| fleet.kill(index));
        fleet.restart(2)?;
        fleet.wait_for_status(&caller, 2, revision_is(0)).await?;
        let router = fleet.routers[2].address;
        let end =
            caller.call_plain(router, ACCOUNT, APP, IDEMPOTENT_PATH, "no-document", None).await;
        assert_eq!(end, CallEnd::NotRun { code: "no_configuration".into() });
        fleet.set_platform(&caller, &json!({ "down": false })).await?;
        fleet.wait_for_status(&caller, 2, revision_is(1)).await?;
        let end = caller.call_plain(router, ACCOUNT, APP, IDEMPOTENT_PATH, "document", None).await;
        assert_eq!(end, CallEnd::Answered);
        Ok(())
    });
}

#[test]
fn leaving_target_gets_no_new_calls_after_a_stale_list_read() {
    with_fleet(2, |fleet, caller| async move {
        let leaving = fleet.targets.iter().find(|target| target.service == APP);
        let leaving =
            leaving.ok_or_else(|| anyhow::anyhow!("the plain service has no replica"))?.clone();
        let instances = fleet.instances(&[&leaving.name]);
        fleet.set_platform(&caller, &json!({ "instances": instances })).await?;
        for (index, router) in fleet.routers.iter().enumerate() {
            let is_known = |_: &Value| !router.log_lines(&["event=\"leaving\""]).is_empty();
            fleet.wait_for_status(&caller, index, is_known).await?;
        }
        // A stale read of the list shows the target as live again.
        let instances = fleet.instances(&[]);
        fleet.set_platform(&caller, &json!({ "instances": instances })).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let url = format!("http://{}/test/stats", leaving.address);
        let before = caller.get_json(&url).await?["runs"].clone();
        for number in 0..60 {
            let router = fleet.routers[number % 2].address;
            let nonce = format!("leaving-{number}");
            let end = caller.call_plain(router, ACCOUNT, APP, IDEMPOTENT_PATH, &nonce, None).await;
            assert_eq!(end, CallEnd::Answered);
        }
        assert_eq!(caller.get_json(&url).await?["runs"], before);
        Ok(())
    });
}

#[test]
fn drain_finishes_streams_and_refuses_new_work() {
    with_fleet(2, |mut fleet, caller| async move {
        let router = fleet.routers[0].address;
        let streaming = caller.stream(router, ACCOUNT, MODEL, "drained", 200, || ());
        let draining = async {
            let has_stream = |status: &Value| status["open_requests"] == 1;
            fleet.wait_for_status(&caller, 0, has_stream).await?;
            fleet.signal(0, Signal::SIGTERM)?;
            fleet.wait_for_status(&caller, 0, |status| status["draining"] == true).await?;
            let end = caller.call_plain(router, ACCOUNT, APP, IDEMPOTENT_PATH, "late", None).await;
            assert_eq!(end, CallEnd::NotRun { code: "draining".into() });
            let sees_drain = |status: &Value| status["members"][0]["standing"] == "draining";
            fleet.wait_for_status(&caller, 1, sees_drain).await?;
            let addresses = caller.addresses(fleet.routers[1].address, ACCOUNT).await?;
            assert_eq!(addresses, [fleet.routers[1].address]);
            anyhow::Ok(())
        };
        let (result, drained) = futures_util::future::join(streaming, draining).await;
        drained?;
        assert_eq!((result.end, result.tokens), (CallEnd::Answered, 200));
        let mut process = fleet.routers[0].process.take();
        let process = process.as_mut().ok_or_else(|| anyhow::anyhow!("router 0 has no process"))?;
        assert_eq!(process.wait(Duration::from_secs(30))?, Some(0));
        Ok(())
    });
}

#[test]
fn a_caller_that_leaves_frees_its_slot() {
    with_fleet(1, |fleet, caller| async move {
        let router = fleet.routers[0].address;
        for number in 0..4 {
            let nonce = format!("left-{number}");
            let stream = caller.stream(router, ACCOUNT, MODEL, &nonce, 100_000, || ());
            // Dropping the stream closes the caller's connection.
            let _ = tokio::time::timeout(Duration::from_millis(300), stream).await;
        }
        fleet.wait_for_status(&caller, 0, |status| status["open_requests"] == 0).await?;
        for target in fleet.targets.iter().filter(|target| target.service == MODEL) {
            let url = format!("http://{}/test/stats", target.address);
            let mut attempts = 0;
            while caller.get_json(&url).await?["load"]["active"] != 0 {
                attempts += 1;
                anyhow::ensure!(attempts < 200, "{} still has an active stream", target.name);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    });
}

#[test]
fn both_sides_of_a_partition_serve_and_agree_after_it() {
    with_fleet(3, |fleet, caller| async move {
        caller.set_cut_peers(fleet.routers[0].peer_address, &["router-1", "router-2"]).await?;
        for index in [1, 2] {
            caller.set_cut_peers(fleet.routers[index].peer_address, &["router-0"]).await?;
        }
        let has_no_peer = |status: &Value| {
            let members = status["members"].as_array().cloned().unwrap_or_default();
            members.iter().all(|member| member["standing"] != "alive")
        };
        fleet.wait_for_status(&caller, 0, has_no_peer).await?;
        for index in 0..3 {
            let nonce = format!("cut-{index}");
            let router = fleet.routers[index].address;
            let result = caller.stream(router, ACCOUNT, MODEL, &nonce, 5, || ()).await;
            assert_eq!(result.end, CallEnd::Answered, "router {index}");
        }
        for router in &fleet.routers {
            caller.set_cut_peers(router.peer_address, &[]).await?;
        }
        fleet.wait_for_routers(&caller).await?;
        let grantor = |status: &Value| status["services"][MODEL]["grantor"].clone();
        let mut attempts = 0;
        loop {
            let mut grantors = Vec::new();
            for index in 0..3 {
                grantors.push(grantor(&fleet.status(&caller, index).await?));
            }
            if grantors.iter().all(|grantor| *grantor == grantors[0]) {
                return Ok(());
            }
            attempts += 1;
            anyhow::ensure!(attempts < 200, "routers name different grantors: {grantors:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn a_frozen_grantor_does_not_stop_the_others() {
    with_fleet(3, |fleet, caller| async move {
        let status = fleet.status(&caller, 0).await?;
        let grantor = status["services"][MODEL]["grantor"].as_str().unwrap_or_default().to_owned();
        let frozen = fleet.routers.iter().position(|router| router.name == grantor).unwrap_or(0);
        fleet.signal(frozen, Signal::SIGSTOP)?;
        for index in (0..3).filter(|index| *index != frozen) {
            // More requests than the router has spare grants, so that it needs new
            // ones.
            let streams = (0..10).map(|number| {
                let nonce = format!("frozen-{index}-{number}");
                let (caller, router) = (caller.clone(), fleet.routers[index].address);
                async move { caller.stream(router, ACCOUNT, MODEL, &nonce, 5, || ()).await }
            });
            for result in futures_util::future::join_all(streams).await {
                assert_eq!(result.end, CallEnd::Answered);
            }
        }
        fleet.signal(frozen, Signal::SIGCONT)?;
        fleet.wait_for_routers(&caller).await?;
        let router = fleet.routers[frozen].address;
        let result = caller.stream(router, ACCOUNT, MODEL, "woken", 5, || ()).await;
        assert_eq!(result.end, CallEnd::Answered);
        Ok(())
    });
}

/// Returns the model version that each engine of the model service serves.
async fn served_versions(
    fleet: &bench::RunningFleet,
    caller: &bench::HttpCaller,
) -> anyhow::Result<Vec<Value>> {
    let mut versions = Vec::new();
    for target in fleet.targets.iter().filter(|target| target.service == MODEL) {
        let state = caller.get_json(&format!("http://{}/v1/state", target.address)).await?;
        versions.push(state["serving"].clone());
    }
    Ok(versions)
}

/// Waits until every engine serves this version, and checks on each poll that at
/// least `floor` engines serve some version.
async fn wait_for_version(
    fleet: &bench::RunningFleet,
    caller: &bench::HttpCaller,
    version: &str,
    floor: usize,
) -> anyhow::Result<()> {
    for _ in 0..2_400 {
        let versions = served_versions(fleet, caller).await?;
        let serving = versions.iter().filter(|version| version.is_string()).count();
        anyhow::ensure!(serving >= floor, "only {serving} engines serve, the floor is {floor}");
        if versions.iter().all(|served| served == version) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    anyhow::bail!("not every engine serves {version} in time")
}

#[test]
fn new_version_replaces_the_old_one_under_load_without_broken_streams() {
    with_fleet(2, |fleet, caller| async move {
        let text = fleet.plan.site.document().replace("briefing-2", "briefing-3");
        fleet.set_platform(&caller, &json!({ "revision": 2, "document": text })).await?;
        let stopped = std::cell::Cell::new(false);
        let load = async {
            let mut number = 0;
            while !stopped.get() {
                number += 1;
                let nonce = format!("version-{number}");
                let router = fleet.routers[number % 2].address;
                let result = caller.stream(router, ACCOUNT, MODEL, &nonce, 5, || ()).await;
                assert_eq!(result.end, CallEnd::Answered);
            }
        };
        let change = async {
            let changed = wait_for_version(&fleet, &caller, "briefing-3", 9).await;
            stopped.set(true);
            changed
        };
        futures_util::future::join(load, change).await.1?;
        // A late order of an older document is refused and changes nothing.
        let engine = fleet.targets.iter().find(|target| target.service == MODEL);
        let engine = engine.ok_or_else(|| anyhow::anyhow!("the model service has no engine"))?;
        let url = format!("http://{}/v1/orders", engine.address);
        let late = json!({ "fence": 1_u64 << 20, "model": "briefing-2" });
        assert!(
            caller.post_json(&url, &late).await.is_err(),
            "an outdated fencing token was accepted"
        );
        wait_for_version(&fleet, &caller, "briefing-3", 9).await
    });
}

#[test]
fn late_order_is_corrected_when_engines_ignore_the_fencing_token() {
    let plan = FleetPlan { ignore_fence: true, ..FleetPlan::new(bench::ExampleSite::Alliance, 2) };
    with_plan(plan, |fleet, caller| async move {
        let text =
            fleet.plan.site.document().replace("\"floor\": 9", "\"floor\": 9, \"fenced\": false");
        fleet.set_platform(&caller, &json!({ "revision": 2, "document": text })).await?;
        for index in 0..2 {
            fleet.wait_for_status(&caller, index, revision_is(2)).await?;
        }
        let engine = fleet.targets.iter().find(|target| target.service == MODEL);
        let engine = engine.ok_or_else(|| anyhow::anyhow!("the model service has no engine"))?;
        let late = json!({ "fence": 1, "model": "briefing-1" });
        caller.post_json(&format!("http://{}/v1/orders", engine.address), &late).await?;
        let versions = served_versions(&fleet, &caller).await?;
        assert!(
            versions.iter().any(|version| version != "briefing-2"),
            "the late order was not accepted"
        );
        wait_for_version(&fleet, &caller, "briefing-2", 9).await
    });
}
