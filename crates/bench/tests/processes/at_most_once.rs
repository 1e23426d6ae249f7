//! Tests of calls that must run at most once. The service counts the runs.

use crate::fixture::{ACCOUNT, APP, AT_MOST_ONCE_PATH, IDEMPOTENT_PATH, with_fleet};
use bench::{CallEnd, HttpCaller, RunningFleet};
use nix::sys::signal::Signal;
use serde_json::json;

/// Makes an at-most-once call through the router with this index.
async fn call_once(
    caller: &HttpCaller,
    fleet: &RunningFleet,
    index: usize,
    nonce: &str,
    key: &str,
) -> CallEnd {
    let router = fleet.routers[index].address;
    caller.call_plain(router, ACCOUNT, APP, AT_MOST_ONCE_PATH, nonce, Some(key)).await
}

fn unknown(code: &str) -> CallEnd {
    CallEnd::Unknown { code: code.into() }
}

fn not_run(code: &str) -> CallEnd {
    CallEnd::NotRun { code: code.into() }
}

#[test]
fn repeated_keys_get_the_first_outcome_at_every_router() {
    with_fleet(2, |fleet, caller| async move {
        let key = caller.issue_key(fleet.routers[0].address, ACCOUNT).await?;
        for index in [0, 0, 1, 1] {
            assert_eq!(call_once(&caller, &fleet, index, "seat-1", &key).await, CallEnd::Answered);
        }
        assert_eq!(fleet.run_count(&caller, "seat-1").await?, 1);
        Ok(())
    });
}

#[test]
fn concurrent_copies_run_once() {
    with_fleet(2, |fleet, caller| async move {
        let key = caller.issue_key(fleet.routers[0].address, ACCOUNT).await?;
        let copies = (0..8).map(|_| call_once(&caller, &fleet, 0, "seat-2", &key));
        for end in futures_util::future::join_all(copies).await {
            assert_eq!(end, CallEnd::Answered);
        }
        assert_eq!(fleet.run_count(&caller, "seat-2").await?, 1);
        Ok(())
    });
}

#[test]
fn key_first_used_at_another_router_never_runs() {
    with_fleet(2, |fleet, caller| async move {
        let key = caller.issue_key(fleet.routers[0].address, ACCOUNT).await?;
        assert_eq!(call_once(&caller, &fleet, 1, "seat-3", &key).await, not_run("key_sealed"));
        assert_eq!(call_once(&caller, &fleet, 0, "seat-3", &key).await, not_run("key_sealed"));
        assert_eq!(fleet.run_count(&caller, "seat-3").await?, 0);
        Ok(())
    });
}

#[test]
fn keys_are_bound_to_call_and_account_and_to_a_router() {
    with_fleet(1, |fleet, caller| async move {
        let router = fleet.routers[0].address;
        let key = caller.issue_key(router, ACCOUNT).await?;
        assert_eq!(call_once(&caller, &fleet, 0, "seat-4", &key).await, CallEnd::Answered);
        assert_eq!(call_once(&caller, &fleet, 0, "seat-5", &key).await, not_run("key_reused"));
        let end = caller
            .call_plain(router, "tech-01", APP, AT_MOST_ONCE_PATH, "seat-4", Some(&key))
            .await;
        assert_eq!(end, not_run("key_reused"));
        assert_eq!(
            call_once(&caller, &fleet, 0, "seat-6", "mine").await,
            not_run("key_not_issued")
        );
        assert_eq!(fleet.run_count(&caller, "seat-4").await?, 1);
        Ok(())
    });
}

#[test]
fn call_with_a_lost_answer_is_unknown_and_not_retried() {
    with_fleet(2, |fleet, caller| async move {
        fleet.post_to_targets(&caller, APP, "/test/drop", &json!({})).await?;
        let key = caller.issue_key(fleet.routers[0].address, ACCOUNT).await?;
        let end = call_once(&caller, &fleet, 0, "seat-7", &key).await;
        assert_eq!(end, unknown("target_silent"));
        for index in [0, 1] {
            let end = call_once(&caller, &fleet, index, "seat-7", &key).await;
            assert_eq!(end, unknown("outcome_unknown"));
        }
        assert_eq!(fleet.run_count(&caller, "seat-7").await?, 1);
        Ok(())
    });
}

#[test]
fn keys_of_a_killed_or_restarted_router_have_an_unknown_outcome() {
    with_fleet(2, |mut fleet, caller| async move {
        let key = caller.issue_key(fleet.routers[0].address, ACCOUNT).await?;
        assert_eq!(call_once(&caller, &fleet, 0, "seat-8", &key).await, CallEnd::Answered);
        fleet.kill(0);
        let end = call_once(&caller, &fleet, 1, "seat-8", &key).await;
        assert_eq!(end, unknown("outcome_unknown"));
        fleet.restart(0)?;
        fleet.wait_for_routers(&caller).await?;
        for index in [0, 1] {
            let end = call_once(&caller, &fleet, index, "seat-8", &key).await;
            assert_eq!(end, unknown("outcome_unknown"));
        }
        assert_eq!(fleet.run_count(&caller, "seat-8").await?, 1);
        Ok(())
    });
}

#[test]
fn call_at_a_cut_off_or_frozen_router_does_not_count_as_not_run() {
    with_fleet(2, |fleet, caller| async move {
        let key = caller.issue_key(fleet.routers[0].address, ACCOUNT).await?;
        caller.set_cut_peers(fleet.routers[1].peer_address, &["router-0"]).await?;
        let end = call_once(&caller, &fleet, 1, "seat-9", &key).await;
        assert_eq!(end, unknown("outcome_unknown"));
        assert_eq!(call_once(&caller, &fleet, 0, "seat-9", &key).await, CallEnd::Answered);
        caller.set_cut_peers(fleet.routers[1].peer_address, &[]).await?;
        fleet.signal(0, Signal::SIGSTOP)?;
        let asking = call_once(&caller, &fleet, 1, "seat-9", &key);
        let resuming = async {
            tokio::time::sleep(std::time::Duration::from_secs(1)).await;
            fleet.signal(0, Signal::SIGCONT)
        };
        let (end, signalled) = futures_util::future::join(asking, resuming).await;
        signalled?;
        // The frozen router still knows the outcome when it resumes late.
        assert_eq!(end, CallEnd::Answered);
        assert_eq!(fleet.run_count(&caller, "seat-9").await?, 1);
        Ok(())
    });
}

#[test]
fn call_refused_by_a_closed_port_is_retried_at_another_target() {
    with_fleet(1, |mut fleet, caller| async move {
        // One of the three replicas is listed with a port on which nothing listens.
        let closed = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let first = fleet.targets.iter().position(|target| target.service == APP);
        fleet.targets[first.unwrap_or(0)].address = closed;
        let instances = fleet.instances(&[]);
        fleet.set_platform(&caller, &json!({ "instances": instances })).await?;
        for number in 0..20 {
            let key = caller.issue_key(fleet.routers[0].address, ACCOUNT).await?;
            let nonce = format!("seat-10-{number}");
            assert_eq!(call_once(&caller, &fleet, 0, &nonce, &key).await, CallEnd::Answered);
        }
        Ok(())
    });
}

#[test]
fn retried_call_that_ran_is_not_reported_as_not_run() {
    with_fleet(1, |mut fleet, caller| async move {
        let document = fleet.plan.site.document();
        let kind = "\"kind\": \"plain\",";
        let document = document.replace(kind, &format!("{kind} \"max_wait_ms\": 300,"));
        fleet.set_platform(&caller, &json!({ "revision": 2, "document": document })).await?;
        fleet.wait_for_status(&caller, 0, |status| status["revision"] == 2).await?;
        // One replica runs its calls and drops the answers. The others are listed
        // with ports on which nothing listens. A retry after a call to the first one
        // either gets its connection refused or times out waiting for an ejected
        // target.
        fleet.post_to_targets(&caller, APP, "/test/drop", &json!({})).await?;
        let replicas: Vec<_> = fleet.targets.clone();
        for target in fleet.targets.iter_mut().filter(|target| target.service == APP).skip(1) {
            target.address = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        }
        let instances = fleet.instances(&[]);
        fleet.set_platform(&caller, &json!({ "instances": instances })).await?;
        fleet.targets = replicas;
        tokio::time::sleep(std::time::Duration::from_secs(2)).await;
        let router = fleet.routers[0].address;
        for number in 0..20 {
            let nonce = format!("retried-{number}");
            let end = caller.call_plain(router, ACCOUNT, APP, IDEMPOTENT_PATH, &nonce, None).await;
            let runs = fleet.run_count(&caller, &nonce).await?;
            let is_not_run = matches!(end, CallEnd::NotRun { .. });
            assert!(!is_not_run || runs == 0, "{nonce} ran {runs} times, caller got {end:?}");
        }
        Ok(())
    });
}
