//! Homes of prompt parts. Load pattern: many more shared parts than one engine
//! keeps, many routers that choose without asking each other.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use base::Name;
use common::entry;
use target::{
    CallShape, ChoiceQuestion, ChoiceSettings, LoadBook, PromptPart, TargetEntry, TargetState,
    choose,
};

const TARGETS: u64 = 12;
const PARTS: u64 = 600;

fn targets(count: u64) -> Vec<Arc<TargetEntry>> {
    (0..count)
        .map(|index| Arc::new(entry(&format!("i-{index:04x}"), 1, TargetState::Serving)))
        .collect()
}

/// Where an idle fleet sends a prompt that begins with the shared part.
fn home_of(part: u64, entries: &[Arc<TargetEntry>]) -> Name {
    let shape = CallShape {
        prompt_tokens: 7_000,
        output_tokens: 100,
        parts: vec![PromptPart { id: part, tokens: 5_000 }, PromptPart { id: 1, tokens: 2_000 }],
    };
    let question = ChoiceQuestion {
        shape: &shape,
        aim_ms: 600,
        engine_memory: Some(444_000),
        tried: &[],
        near: "a",
    };
    let mut book = LoadBook::default();
    let placed = choose(&mut book, entries.iter(), &question, &ChoiceSettings::default(), 0);
    Name::clone(&placed.expect("an idle target takes it").entry.id)
}

#[test]
fn parts_are_spread_evenly_and_routers_agree() {
    let entries = targets(TARGETS);
    let mut backwards = entries.clone();
    backwards.reverse();
    let mut counts: BTreeMap<Name, u64> = BTreeMap::new();
    for part in 0..PARTS {
        let home = home_of(part, &entries);
        assert_eq!(home, home_of(part, &backwards));
        *counts.entry(home).or_default() += 1;
    }
    let usual = PARTS / TARGETS;
    assert_eq!(counts.len() as u64, TARGETS);
    assert!(counts.values().all(|count| (usual / 2..usual * 2).contains(count)), "{counts:?}");
}

#[test]
fn a_target_that_goes_moves_only_its_own_parts() {
    let entries = targets(TARGETS);
    let fewer: Vec<_> = entries.iter().filter(|entry| &*entry.id != "i-0003").cloned().collect();
    for part in 0..PARTS {
        let before = home_of(part, &entries);
        if &*before != "i-0003" {
            assert_eq!(before, home_of(part, &fewer));
        }
    }
}
