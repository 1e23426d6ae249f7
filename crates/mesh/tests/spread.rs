//! Simulated fleets in which a few routers have a large new configuration and all others want it
//! at once, on machines that send a few megabytes per second.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::stable_hash;
use mesh::{
    AnnouncedVersions, HolderList, HolderSettings, HolderVerdict, TransferKey, TransferPolicy,
    TransferSettings, TransferVerdict,
};

const STEP_MS: u64 = 5;
/// Bytes of a configuration with 4,200 routes.
const CONFIG_BYTES: usize = 460_000;
/// Bytes that a router with an eighth of a core sends in a millisecond.
const SENT_PER_MS: f64 = 6_500.0;
/// Time limit of one fetch.
const FETCH_MS: u64 = 10_000;
/// Time in milliseconds after which a configuration has to be in force everywhere.
const APPLIED_MS: u64 = 3_000;
const VERSION: u64 = 7;
const OLD_VERSION: u64 = 3;

/// Numbers of routers, of failure domains and so of readers, and the time between heartbeats.
const FLEETS: [(usize, usize, u64); 4] = [(6, 3, 200), (9, 3, 200), (90, 3, 900), (295, 5, 1_200)];

struct Fetch {
    from: usize,
    key: TransferKey,
    bytes_left: f64,
    began_at: u64,
}

struct Router {
    policy: TransferPolicy,
    holders: HolderList,
    version: u64,
    fetch: Option<Fetch>,
    waits_until: u64,
    is_dead: bool,
    asked: u64,
}

struct Fleet {
    routers: Vec<Router>,
    by_address: BTreeMap<SocketAddr, usize>,
    now: u64,
    heartbeat_ms: u64,
    most_at_once: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 8_665))
}

impl Fleet {
    fn start(routers: usize, readers: usize, heartbeat_ms: u64) -> Self {
        let build = |index| Router {
            policy: TransferPolicy::new(TransferSettings::default()),
            holders: HolderList::new(address(index), HolderSettings::default()),
            version: if index < readers { VERSION } else { OLD_VERSION },
            fetch: None,
            waits_until: 0,
            is_dead: false,
            asked: 0,
        };
        let by_address = (0..routers).map(|index| (address(index), index)).collect();
        let routers = (0..routers).map(build).collect();
        let mut fleet = Self { routers, by_address, now: 0, heartbeat_ms, most_at_once: 0 };
        // Readers announce what they have read at once.
        (0..readers).for_each(|reader| fleet.announce(reader));
        fleet
    }

    fn announce(&mut self, index: usize) {
        let version = self.routers[index].version;
        for router in self.routers.iter_mut().filter(|router| router.version < version) {
            router.holders.record(address(index), version);
        }
    }

    fn ask(&mut self, index: usize, peer: SocketAddr) {
        self.routers[index].asked += 1;
        let (from, now) = (self.by_address[&peer], self.now);
        let holder = &mut self.routers[from];
        if holder.is_dead {
            self.routers[index].holders.record_failure(peer, now);
            return;
        }
        if holder.version < VERSION {
            self.routers[index].holders.remove(peer);
            return;
        }
        match holder.policy.begin(VERSION, CONFIG_BYTES, address(index), now) {
            TransferVerdict::Serve(key) => {
                let bytes_left = CONFIG_BYTES as f64;
                self.routers[index].fetch = Some(Fetch { from, key, bytes_left, began_at: now });
            }
            TransferVerdict::Refer(others) => {
                self.routers[index].holders.record_referral(peer, &others, VERSION, now);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        let mut transfers = vec![0_usize; self.routers.len()];
        let fetches = self.routers.iter().filter_map(|router| router.fetch.as_ref());
        fetches.for_each(|fetch| transfers[fetch.from] += 1);
        self.most_at_once = transfers.iter().copied().fold(self.most_at_once, usize::max);
        for index in 0..self.routers.len() {
            if (now + index as u64 * 37) % self.heartbeat_ms < STEP_MS
                && self.routers[index].version == VERSION
                && !self.routers[index].is_dead
            {
                self.announce(index);
            }
            if let Some(mut fetch) = self.routers[index].fetch.take() {
                let is_lost = self.routers[fetch.from].is_dead || now - fetch.began_at > FETCH_MS;
                fetch.bytes_left -= SENT_PER_MS * STEP_MS as f64 / transfers[fetch.from] as f64;
                if is_lost {
                    let peer = address(fetch.from);
                    self.routers[index].holders.record_failure(peer, now);
                } else if fetch.bytes_left > 0.0 {
                    self.routers[index].fetch = Some(fetch);
                } else {
                    self.routers[index].version = VERSION;
                    self.routers[fetch.from].policy.end(fetch.key, VERSION);
                }
                continue;
            }
            let router = &mut self.routers[index];
            if router.is_dead || now < router.waits_until {
                continue;
            }
            match router.holders.decide(Some(router.version), now) {
                HolderVerdict::Ask(peer) => self.ask(index, peer),
                HolderVerdict::Wait(wait_ms) => router.waits_until = now + wait_ms,
                HolderVerdict::Idle => {}
            }
        }
    }

    /// Runs until all live routers have the configuration; returns the time.
    fn run(&mut self) -> u64 {
        let has_all = |fleet: &Self| {
            fleet.routers.iter().all(|router| router.is_dead || router.version == VERSION)
        };
        while !has_all(self) && self.now < 60_000 {
            self.step();
        }
        self.now
    }

    fn most_asked(&self) -> u64 {
        self.routers.iter().map(|router| router.asked).max().unwrap_or(0)
    }
}

/// Guards against readers that serve all routers at once, whose processors last for none of the
/// transfers to end in time.
#[test]
fn large_configuration_reaches_every_router_in_time() {
    for (routers, readers, heartbeat_ms) in FLEETS {
        let mut fleet = Fleet::start(routers, readers, heartbeat_ms);
        let took_ms = fleet.run();
        assert!(took_ms <= APPLIED_MS, "{routers} routers: {took_ms} ms");
        assert!(fleet.most_at_once <= 2, "{routers} routers: {} at once", fleet.most_at_once);
        let asked = fleet.most_asked();
        assert!(asked <= APPLIED_MS / 60, "{routers} routers: {asked} requests of one");
    }
}

/// Guards against a configuration that does not arrive as those that had it first are lost
/// while they pass it on, or as half of the fleet is.
#[test]
fn large_configuration_survives_the_loss_of_routers_that_have_it() {
    for (routers, readers, heartbeat_ms) in FLEETS {
        for seed in 0..20 {
            let mut fleet = Fleet::start(routers, readers, heartbeat_ms);
            while fleet.now < 200 + seed * 20 {
                fleet.step();
            }
            let is_lost = |index: usize| {
                let hash = stable_hash(&[&index.to_string(), &seed.to_string()]);
                index + 1 < readers || hash.is_multiple_of(2)
            };
            for index in (0..routers).filter(|index| is_lost(*index)) {
                fleet.routers[index].is_dead = true;
            }
            let live = |router: &&Router| !router.is_dead;
            let has_any = fleet.routers.iter().filter(live).any(|router| router.version == VERSION);
            if !has_any {
                continue;
            }
            let lost_at = fleet.now;
            let took_ms = fleet.run() - lost_at;
            assert!(took_ms <= APPLIED_MS, "{routers} routers, seed {seed}: {took_ms} ms");
        }
    }
}

/// A small configuration is served to all that ask, as a referral would take longer.
#[test]
fn small_configuration_is_served_to_all_at_once() {
    let mut policy = TransferPolicy::new(TransferSettings::default());
    for index in 0..30 {
        let verdict = policy.begin(VERSION, 2_000, address(index), 0);
        assert!(matches!(verdict, TransferVerdict::Serve(_)), "receiver {index}: {verdict:?}");
    }
}

/// Guards against a router that serves nobody as its receivers are suspended.
#[test]
fn transfers_to_receivers_that_do_not_end_them_are_not_counted_for_long() {
    let settings = TransferSettings::default();
    let mut policy = TransferPolicy::new(settings);
    for index in 0..settings.max_transfers {
        let verdict = policy.begin(VERSION, CONFIG_BYTES, address(index), 0);
        assert!(matches!(verdict, TransferVerdict::Serve(_)));
    }
    let refused = policy.begin(VERSION, CONFIG_BYTES, address(10), settings.expire_after - 1);
    assert_eq!(refused, TransferVerdict::Refer(Vec::new()));
    let verdict = policy.begin(VERSION, CONFIG_BYTES, address(10), settings.expire_after);
    assert!(matches!(verdict, TransferVerdict::Serve(_)));
}

/// Guards against referrals to peers that have an older configuration.
#[test]
fn referrals_are_of_the_newest_version() {
    let mut policy =
        TransferPolicy::new(TransferSettings { max_transfers: 1, ..Default::default() });
    let TransferVerdict::Serve(old) = policy.begin(1, CONFIG_BYTES, address(1), 0) else {
        panic!("the first receiver is served");
    };
    policy.end(old, 1);
    let TransferVerdict::Serve(new) = policy.begin(2, CONFIG_BYTES, address(2), 0) else {
        panic!("the second receiver is served");
    };
    assert_eq!(policy.begin(2, CONFIG_BYTES, address(3), 0), TransferVerdict::Refer(vec![]));
    policy.end(new, 2);
    let _under_way = policy.begin(2, CONFIG_BYTES, address(3), 0);
    let refused = policy.begin(2, CONFIG_BYTES, address(4), 0);
    assert_eq!(refused, TransferVerdict::Refer(vec![address(2)]));
}

/// Guards against a configuration that is never read (CONFIG): it was announced while a listing of
/// the source was under way that may lack it, and its holders were lost.
#[test]
fn version_that_is_announced_during_a_listing_is_listed_for_again() {
    let mut versions = AnnouncedVersions::default();
    versions.record(Some(7));
    assert!(versions.must_list(Some(3)));
    let newest = versions.newest();
    versions.record(Some(9));
    versions.record_listing(newest);
    assert!(versions.must_list(Some(7)), "the listing may lack version 9");
    versions.record_listing(versions.newest());
    assert!(!versions.must_list(Some(7)), "a restored source may not have version 9");
}
