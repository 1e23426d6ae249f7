//! Spread of a new configuration among the routers.
//!
//! At first only the few routers that read the source have it, and all others want it at once.
//! A router serves few peers at a time and refers the others to those that it has served, so
//! that the number of routers that serve doubles with each transfer.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use base::{Millis, stable_hash};
use slotmap::SlotMap;

slotmap::new_key_type! {
    /// Identifies a transfer in [`TransferPolicy`].
    pub struct TransferKey;
}

/// Limits of [`TransferPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct TransferSettings {
    /// Transfers that are served at once, whatever their size.
    pub max_transfers: usize,
    /// Bytes of transfers that are served at once beyond that, so that small configurations are
    /// never withheld.
    pub max_bytes: usize,
    /// Time in milliseconds after which a transfer no longer counts, as its receiver may be
    /// suspended.
    pub expire_after: Millis,
    /// Largest number of peers in a referral.
    pub max_referrals: usize,
}

impl Default for TransferSettings {
    fn default() -> Self {
        Self { max_transfers: 2, max_bytes: 64 << 10, expire_after: 2_000, max_referrals: 8 }
    }
}

/// Whether a peer is served now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransferVerdict {
    Serve(TransferKey),
    /// The peer should ask one of these peers, which have the configuration; none if there are
    /// none yet.
    Refer(Vec<SocketAddr>),
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    receiver: SocketAddr,
    bytes: usize,
    began_at: Millis,
}

/// Decides which peers a router serves its configuration.
#[derive(Debug)]
pub struct TransferPolicy {
    settings: TransferSettings,
    version: u64,
    transfers: SlotMap<TransferKey, Transfer>,
    /// Peers that were served `version`, the latest last; at most `max_referrals`.
    served: VecDeque<SocketAddr>,
}

impl TransferPolicy {
    pub fn new(settings: TransferSettings) -> Self {
        Self { settings, version: 0, transfers: SlotMap::with_key(), served: VecDeque::new() }
    }

    /// Decides whether `receiver` is served the configuration `version` of `bytes` now.
    pub fn begin(
        &mut self,
        version: u64,
        bytes: usize,
        receiver: SocketAddr,
        now: Millis,
    ) -> TransferVerdict {
        if version > self.version {
            self.version = version;
            self.served.clear();
        }
        let expire_after = self.settings.expire_after;
        self.transfers.retain(|_, transfer| now.saturating_sub(transfer.began_at) < expire_after);
        let under_way: usize = self.transfers.values().map(|transfer| transfer.bytes).sum();
        let is_free = self.transfers.len() < self.settings.max_transfers;
        if !is_free && under_way + bytes > self.settings.max_bytes {
            let others = self.served.iter().rev().filter(|peer| **peer != receiver);
            return TransferVerdict::Refer(others.copied().collect());
        }
        let transfer = Transfer { receiver, bytes, began_at: now };
        TransferVerdict::Serve(self.transfers.insert(transfer))
    }

    /// Records that a receiver of `version` has closed its connection.
    pub fn end(&mut self, key: TransferKey, version: u64) {
        // An expired transfer may have ended well.
        let Some(transfer) = self.transfers.remove(key) else { return };
        if version != self.version || self.served.contains(&transfer.receiver) {
            return;
        }
        self.served.push_back(transfer.receiver);
        if self.served.len() > self.settings.max_referrals {
            self.served.pop_front();
        }
    }
}

/// Versions of the configuration that peers have announced, and whether a router that reads the
/// source has to list it for one of them.
///
/// A router may know all newer targets from a peer and not the configuration that came before
/// them. The changes that it then reads from the source do not have that either.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnnouncedVersions {
    newest: Option<u64>,
    /// `newest` when the last listing of the source began.
    listed: Option<u64>,
}

impl AnnouncedVersions {
    /// Records that a peer has a version.
    pub fn record(&mut self, version: Option<u64>) {
        self.newest = self.newest.max(version);
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<u64> {
        self.newest
    }

    /// Whether a router with `version` has to list the source. Once for each version, as a
    /// restored source may not have it.
    pub fn must_list(&self, version: Option<u64>) -> bool {
        self.newest > version && self.newest > self.listed
    }

    /// Records that a listing of the source has ended; `newest` was the newest version when it
    /// began.
    pub fn record_listing(&mut self, newest: Option<u64>) {
        self.listed = self.listed.max(newest);
    }
}

/// Limits of [`HolderList`].
#[derive(Clone, Copy, Debug)]
pub struct HolderSettings {
    /// Least time in milliseconds after which a router that was referred to others asks again:
    /// part of a transfer. It is up to twice as long, so that routers that are refused together
    /// come back apart.
    pub busy_ms: Millis,
    /// Time in milliseconds after which a peer that failed is asked again.
    pub failed_ms: Millis,
    /// Largest number of holders.
    pub max_holders: usize,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self { busy_ms: 60, failed_ms: 1_000, max_holders: 32 }
    }
}

/// What a router that may lack a configuration does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderVerdict {
    /// Ask the peer for its configuration.
    Ask(SocketAddr),
    /// All that have a newer configuration were asked lately; one may be asked again after so
    /// many milliseconds.
    Wait(Millis),
    /// No peer is known to have a newer configuration.
    Idle,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    version: u64,
    /// When it may be asked.
    free_at: Millis,
}

/// The peers that have a newer configuration than this router.
#[derive(Debug)]
pub struct HolderList {
    settings: HolderSettings,
    own_address: SocketAddr,
    holders: BTreeMap<SocketAddr, Holder>,
    /// Until when no peer is asked.
    paused_until: Millis,
}

impl HolderList {
    /// Creates a list without holders; `own_address` is the address at which peers ask this
    /// router.
    pub fn new(own_address: SocketAddr, settings: HolderSettings) -> Self {
        Self { settings, own_address, holders: BTreeMap::new(), paused_until: 0 }
    }

    /// Records that a peer has a version.
    pub fn record(&mut self, peer: SocketAddr, version: u64) {
        let is_full = self.holders.len() >= self.settings.max_holders;
        if peer == self.own_address || (is_full && !self.holders.contains_key(&peer)) {
            return;
        }
        let holder = self.holders.entry(peer).or_insert(Holder { version, free_at: 0 });
        holder.version = holder.version.max(version);
    }

    /// Records that a peer refers to others that have a version, as it serves enough peers.
    pub fn record_referral(
        &mut self,
        peer: SocketAddr,
        others: &[SocketAddr],
        version: u64,
        now: Millis,
    ) {
        for other in others {
            self.record(*other, version);
        }
        let busy_ms = self.settings.busy_ms;
        self.paused_until = now + busy_ms + self.rank(peer, now) % busy_ms.max(1);
        self.delay(peer, self.paused_until + busy_ms);
    }

    /// Records that a peer did not answer.
    pub fn record_failure(&mut self, peer: SocketAddr, now: Millis) {
        self.delay(peer, now + self.settings.failed_ms);
    }

    /// Forgets a peer whose configuration this router has got, or which has none that is newer.
    pub fn remove(&mut self, peer: SocketAddr) {
        self.holders.remove(&peer);
    }

    /// Returns what to do next for a router with `version`.
    pub fn decide(&mut self, version: Option<u64>, now: Millis) -> HolderVerdict {
        self.holders.retain(|_, holder| Some(holder.version) > version);
        if !self.holders.is_empty() && now < self.paused_until {
            return HolderVerdict::Wait(self.paused_until - now);
        }
        let free = self.holders.iter().filter(|(_, holder)| holder.free_at <= now);
        // Each router asks another holder first.
        let best = free.max_by_key(|(peer, holder)| (holder.version, self.rank(**peer, 0)));
        if let Some((peer, _)) = best {
            return HolderVerdict::Ask(*peer);
        }
        let free_at = self.holders.values().map(|holder| holder.free_at).min();
        free_at.map_or(HolderVerdict::Idle, |at| HolderVerdict::Wait(at.saturating_sub(now)))
    }

    fn delay(&mut self, peer: SocketAddr, free_at: Millis) {
        if let Some(holder) = self.holders.get_mut(&peer) {
            holder.free_at = free_at;
        }
    }

    fn rank(&self, peer: SocketAddr, salt: u64) -> u64 {
        stable_hash(&[&self.own_address.to_string(), &peer.to_string(), &salt.to_string()])
    }
}
