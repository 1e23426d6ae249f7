//! Budget of the bytes that a router holds for callers: bodies of requests, and
//! responses that are buffered.
//!
//! The load pattern: many callers of one account send large bodies, send them slowly,
//! or do not take their responses. Without a bound the process exceeds its memory and
//! is ended with everything that it has accepted.
//!
//! The budget is shared by dynamic thresholds: an account may hold as much as is left
//! over, times a factor. So one account alone gets half of the budget. What is left once
//! it is full is kept for accounts that hold nothing.

use std::collections::HashMap;

use base::Name;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Identifies the bytes held for one request.
    pub struct HoldKey;
}

/// Limits of the budget.
#[derive(Clone, Copy, Debug)]
pub struct MemorySettings {
    /// Largest number of bytes held at once.
    pub limit_bytes: usize,
    /// An account may hold this many times the bytes that are left over.
    pub account_factor: f64,
    /// Fraction of the limit from which on only requests of accounts that hold nothing
    /// are taken. Few accounts could otherwise keep all others out.
    pub full_at: f64,
    /// Fraction of the limit below which all requests are taken again.
    pub resume_at: f64,
}

impl Default for MemorySettings {
    fn default() -> Self {
        Self { limit_bytes: 256 << 20, account_factor: 1.0, full_at: 0.9, resume_at: 0.8 }
    }
}

/// Why bytes may not be held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryRefusal {
    /// All accounts together hold too much.
    Full,
    /// The account holds too much.
    AccountLimit,
}

#[derive(Clone, Debug)]
struct Hold {
    /// None for requests without an account.
    account: Option<Name>,
    bytes: usize,
}

/// Bytes held for requests, by account.
#[derive(Clone, Debug, Default)]
pub struct MemoryBudget {
    settings: MemorySettings,
    holds: SlotMap<HoldKey, Hold>,
    /// Sum of `holds`, at most [`MemorySettings::limit_bytes`].
    used: usize,
    /// Sums of `holds` by account, without accounts that hold nothing.
    accounts: HashMap<Option<Name>, usize>,
    is_full: bool,
}

impl MemoryBudget {
    pub fn new(settings: MemorySettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns the bytes held for all requests.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Whether only requests of accounts that hold nothing are taken.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Returns how many bytes heads of requests may take that are not complete, as long as nobody
    /// knows of which account they are: as much as a single account that holds nothing.
    pub fn head_room(&self) -> usize {
        let left = self.settings.limit_bytes - self.used;
        (left as f64 * self.settings.account_factor / (1.0 + self.settings.account_factor)) as usize
    }

    /// Holds `bytes` for a new request of `account`.
    ///
    /// # Errors
    /// Returns the reason if the budget or the account's part of it is used up.
    pub fn hold(&mut self, account: Option<&Name>, bytes: usize) -> Result<HoldKey, MemoryRefusal> {
        let account = account.cloned();
        // A request without a body takes nothing from others.
        if bytes > 0 {
            if self.is_full && self.accounts.contains_key(&account) {
                return Err(MemoryRefusal::Full);
            }
            self.check_part(&account, bytes)?;
            self.add(&account, bytes)?;
        }
        Ok(self.holds.insert(Hold { account, bytes }))
    }

    /// Holds `bytes` more of the body of a request.
    ///
    /// # Errors
    /// Returns the reason if the budget or the account's part of it is used up; the
    /// bytes held before remain held.
    pub fn grow(&mut self, key: HoldKey, bytes: usize) -> Result<(), MemoryRefusal> {
        let Some(hold) = self.holds.get(key) else { return Err(MemoryRefusal::Full) };
        let account = hold.account.clone();
        self.check_part(&account, bytes)?;
        self.grow_hold(key, &account, bytes)
    }

    /// Holds `bytes` of the response to a request. The request has run, so its account
    /// may exceed its part until the budget is full. Responses that are not taken would
    /// otherwise leave nothing for accounts that hold nothing.
    ///
    /// # Errors
    /// Returns an error if the budget is used up, or if it is full and the account's part of it
    /// is used up; the bytes held before remain held.
    pub fn hold_response(&mut self, key: HoldKey, bytes: usize) -> Result<(), MemoryRefusal> {
        let Some(hold) = self.holds.get(key) else { return Err(MemoryRefusal::Full) };
        let account = hold.account.clone();
        let used = self.used.saturating_add(bytes);
        if used as f64 > self.settings.limit_bytes as f64 * self.settings.full_at {
            self.check_part(&account, bytes)?;
        }
        self.grow_hold(key, &account, bytes)
    }

    fn grow_hold(
        &mut self,
        key: HoldKey,
        account: &Option<Name>,
        bytes: usize,
    ) -> Result<(), MemoryRefusal> {
        self.add(account, bytes)?;
        if let Some(hold) = self.holds.get_mut(key) {
            hold.bytes += bytes;
        }
        Ok(())
    }

    /// Returns the bytes of a request to the budget.
    pub fn release(&mut self, key: HoldKey) {
        let Some(hold) = self.holds.remove(key) else { return };
        self.used -= hold.bytes;
        if let Some(held) = self.accounts.get_mut(&hold.account) {
            *held -= hold.bytes;
            if *held == 0 {
                self.accounts.remove(&hold.account);
            }
        }
        self.update_full();
    }

    /// Checks that an account stays within its part with `bytes` more.
    fn check_part(&self, account: &Option<Name>, bytes: usize) -> Result<(), MemoryRefusal> {
        let used = self.used.saturating_add(bytes);
        let Some(left) = self.settings.limit_bytes.checked_sub(used) else {
            return Err(MemoryRefusal::Full);
        };
        let held = self.accounts.get(account).copied().unwrap_or_default() + bytes;
        match held as f64 > left as f64 * self.settings.account_factor {
            true => Err(MemoryRefusal::AccountLimit),
            false => Ok(()),
        }
    }

    fn add(&mut self, account: &Option<Name>, bytes: usize) -> Result<(), MemoryRefusal> {
        let used = self.used.saturating_add(bytes);
        if used > self.settings.limit_bytes {
            return Err(MemoryRefusal::Full);
        }
        self.used = used;
        if bytes > 0 {
            *self.accounts.entry(account.clone()).or_default() += bytes;
        }
        self.update_full();
        Ok(())
    }

    fn update_full(&mut self) {
        let fraction = self.used as f64 / self.settings.limit_bytes as f64;
        self.is_full = match self.is_full {
            true => fraction > self.settings.resume_at,
            false => fraction >= self.settings.full_at,
        };
    }
}
