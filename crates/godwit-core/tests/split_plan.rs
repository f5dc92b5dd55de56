//! Compares the stage plan with a brute-force search of all tilings. Guards against plans that omit layers or are not
//! the cheapest.

use std::collections::BTreeSet;

use godwit_core::split::{LinkCost, Links, Plan, StageHolder, plan};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LAYERS: u32 = 6;

fn holder(
    index: usize,
    domain: u8,
    from: u32,
    to: u32,
    layer_us: u64,
    overhead_us: u64,
) -> StageHolder {
    StageHolder {
        server: format!("s{index}"),
        address: format!("127.0.0.1:{index}"),
        failure_domain: format!("d{domain}"),
        layer_from: from,
        layer_to: to,
        layer_us,
        overhead_us,
    }
}

fn holders() -> impl Strategy<Value = Vec<StageHolder>> {
    let one = (0u8..2, 0..LAYERS, 1..=LAYERS, 1u64..20, 0u64..15);
    proptest::collection::vec(one, 1..6).prop_map(|rows| {
        let numbered = rows.into_iter().enumerate();
        numbered
            .map(|(index, (domain, from, to, layer_us, overhead_us))| {
                holder(index, domain, from, to, layer_us, overhead_us)
            })
            .collect()
    })
}

fn links() -> impl Strategy<Value = Links> {
    (0u64..10, 0u64..40, 0u64..100).prop_map(|(same_domain_us, other_domain_us, degraded_us)| {
        let degraded = LinkCost { a: "s0".to_string(), b: "s1".to_string(), step_us: degraded_us };
        Links { costs: vec![degraded], same_domain_us, other_domain_us }
    })
}

/// Returns the lowest cost of all tilings. Stages may end at any layer, and each server runs at most one of them.
fn brute_force(
    holders: &[StageHolder],
    links: &Links,
    used: &BTreeSet<usize>,
    before: Option<usize>,
    from: u32,
) -> Option<u64> {
    if from == LAYERS {
        return Some(0);
    }
    let mut best = None;
    for (index, holder) in holders.iter().enumerate() {
        if used.contains(&index) || holder.layer_from > from {
            continue;
        }
        let mut used = used.clone();
        used.insert(index);
        for to in from + 1..=holder.layer_to {
            let Some(rest_us) = brute_force(holders, links, &used, Some(index), to) else {
                continue;
            };
            let link_us = before.map_or(0, |before| links.step_us(&holders[before], holder));
            let stage_us = holder.overhead_us + holder.layer_us * u64::from(to - from);
            let cost_us = link_us + stage_us + rest_us;
            best = Some(best.map_or(cost_us, |best: u64| best.min(cost_us)));
        }
    }
    best
}

fn assert_tiles(plan: &Plan, holders: &[StageHolder]) {
    let mut next = 0;
    let mut servers = BTreeSet::new();
    for stage in &plan.stages {
        assert_eq!(stage.layer_from, next, "a gap or an overlap");
        assert!(stage.layer_to > stage.layer_from, "an empty stage");
        let holder = holders.iter().find(|holder| holder.server == stage.server).unwrap();
        assert!(holder.layer_from <= stage.layer_from && stage.layer_to <= holder.layer_to);
        assert!(servers.insert(&stage.server), "a server runs two stages");
        next = stage.layer_to;
    }
    assert_eq!(next, LAYERS);
}

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(0x5711), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn plan_matches_brute_force(holders in holders(), links in links()) {
        let found = plan(LAYERS, &holders, &links, &BTreeSet::new());
        let expected = brute_force(&holders, &links, &BTreeSet::new(), None, 0);
        prop_assert_eq!(found.as_ref().map(|plan| plan.token_us), expected);
        if let Some(found) = found {
            assert_tiles(&found, &holders);
        }
    }

    #[test]
    fn plan_ignores_order_of_holders(holders in holders(), links in links()) {
        let found = plan(LAYERS, &holders, &links, &BTreeSet::new());
        let reversed: Vec<StageHolder> = holders.iter().rev().cloned().collect();
        prop_assert_eq!(plan(LAYERS, &reversed, &links, &BTreeSet::new()), found);
    }

    #[test]
    fn plan_skips_excluded(holders in holders(), links in links()) {
        let excluded = BTreeSet::from(["s0".to_string()]);
        let remaining: Vec<StageHolder> = holders[1..].to_vec();
        let found = plan(LAYERS, &holders, &links, &excluded);
        prop_assert_eq!(found, plan(LAYERS, &remaining, &links, &BTreeSet::new()));
    }
}

/// Returns the plan for three holders, of which the first two have a link that costs 50 us, as (server, first layer).
fn degraded_plan(last_layer_us: u64, same_domain_us: u64) -> Vec<(String, u32)> {
    let holders = [
        holder(0, 0, 0, 3, 10, 0),
        holder(1, 0, 3, 6, 10, 0),
        holder(2, 0, 3, 6, last_layer_us, 0),
    ];
    let degraded = LinkCost { a: "s1".to_string(), b: "s0".to_string(), step_us: 50 };
    let links = Links { costs: vec![degraded], same_domain_us, ..Links::default() };
    let plan = plan(LAYERS, &holders, &links, &BTreeSet::new()).unwrap();
    plan.stages.into_iter().map(|stage| (stage.server, stage.layer_from)).collect()
}

#[test]
fn plan_avoids_degraded_link() {
    assert_eq!(degraded_plan(11, 5), [("s0".to_string(), 0), ("s2".to_string(), 3)]);
}

#[test]
fn plan_detours_around_degraded_link() {
    let expected = [("s0".to_string(), 0), ("s2".to_string(), 3), ("s1".to_string(), 4)];
    assert_eq!(degraded_plan(12, 1), expected);
}

#[test]
fn plan_of_many_holders_reaches_the_last_layer() {
    let holders: Vec<StageHolder> = (0..60)
        .map(|index| {
            let from = (index % 20) as u32 * 4;
            holder(index, (index % 3) as u8, from, from + 12, 10 + index as u64 % 7, 3)
        })
        .collect();
    let links = Links { same_domain_us: 20, other_domain_us: 900, ..Links::default() };
    let plan = plan(80, &holders, &links, &BTreeSet::new()).unwrap();
    assert_eq!(plan.stages.last().unwrap().layer_to, 80);
}
