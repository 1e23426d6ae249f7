//! Settings of the gateway.

use std::net::SocketAddr;

use base::Name;
use serde::{Deserialize, Serialize};
use target::SelectionSettings;

/// Settings file of the gateway; unknown keys are refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    pub instance: Name,
    pub failure_domain: Name,
    pub listen: ListenSettings,
    /// `peers` addresses of some routers; may be stale, down, or this router.
    pub seeds: Vec<SocketAddr>,
    /// Address of the configuration source.
    pub source: SocketAddr,
    #[serde(default)]
    pub bounds: BoundSettings,
    #[serde(default)]
    pub admission: AdmissionSettings,
    #[serde(default)]
    pub choice: SelectionSettings,
    #[serde(default = "default_log")]
    pub log: Name,
}

/// Addresses that the gateway listens on; ports are the same on all routers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    /// Callers' questions which addresses to use.
    pub addresses: SocketAddr,
    /// Exchanges between routers, over HTTP.
    pub peers: SocketAddr,
    /// Beats between routers, as datagrams.
    pub beats: SocketAddr,
    /// Counters as text; none for no such address.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the fleet has to keep.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Time from the signal to stop until the process is killed, in seconds.
    pub stop_s: f64,
    /// Repeats for each request of a service, in any window.
    pub repeat_ratio: f64,
    /// Repeats of a service beyond the ratio, over the fleet, in any window.
    pub repeat_allowance: f64,
    /// Length of the window, in seconds.
    pub repeat_window_s: f64,
    /// Window in which client accounts' shares are owed, in seconds.
    pub share_window_s: f64,
    /// Longest time for which an address answer may hold, in seconds.
    pub longest_lease_s: f64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            stop_s: 8.0,
            repeat_ratio: 0.2,
            repeat_allowance: 50.0,
            repeat_window_s: 10.0,
            share_window_s: 4.0,
            longest_lease_s: 5.0,
        }
    }
}

/// How client accounts share what is there.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Share of a target's slots up to which requests over their account's
    /// share are sent to it: nobody waits while the targets have room.
    pub room_share: f64,
    /// Share of the time that callers aim for that such a request may be
    /// expected to wait behind others.
    pub room_until: f64,
    /// Share that is granted beyond the computed one, as costs are estimates.
    pub headroom: f64,
    /// Share of the time that callers aim for after which a refused caller may
    /// return, so that it can still be answered in time.
    pub return_share: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { room_share: 0.15, room_until: 0.2, headroom: 1.1, return_share: 0.2 }
    }
}

fn default_log() -> Name {
    "info,ntex_server=warn,ntex_service=warn,ntex=warn".into()
}

impl GatewaySettings {
    /// Checks what the types do not say.
    ///
    /// # Errors
    /// Names the first key whose value is out of range.
    pub fn check(&self) -> anyhow::Result<()> {
        anyhow::ensure!(!self.instance.is_empty(), "step=check_settings: instance is empty");
        let bounds = &self.bounds;
        let positive = [
            ("bounds.stop_s", bounds.stop_s),
            ("bounds.repeat_window_s", bounds.repeat_window_s),
            ("bounds.share_window_s", bounds.share_window_s),
            ("bounds.longest_lease_s", bounds.longest_lease_s),
        ];
        for (key, value) in positive {
            anyhow::ensure!(value > 0.0, "step=check_settings: {key} is {value}, not positive");
        }
        for (key, value) in [
            ("bounds.repeat_ratio", bounds.repeat_ratio),
            ("bounds.repeat_allowance", bounds.repeat_allowance),
        ] {
            anyhow::ensure!(value >= 0.0, "step=check_settings: {key} is {value}, negative");
        }
        self.check_admission()?;
        self.check_choice()
    }

    fn check_admission(&self) -> anyhow::Result<()> {
        let admission = &self.admission;
        for (key, value) in [
            ("admission.room_share", admission.room_share),
            ("admission.room_until", admission.room_until),
            ("admission.return_share", admission.return_share),
        ] {
            anyhow::ensure!(value >= 0.0, "step=check_settings: {key} is {value}, negative");
        }
        let headroom = admission.headroom;
        anyhow::ensure!(
            headroom > 0.0,
            "step=check_settings: admission.headroom is {headroom}, not positive"
        );
        Ok(())
    }

    fn check_choice(&self) -> anyhow::Result<()> {
        let choice = &self.choice;
        for (key, value) in [
            ("choice.overhead_ms", choice.overhead_ms),
            ("choice.crossing_ms", choice.crossing_ms),
            ("choice.home_until", choice.home_until),
        ] {
            anyhow::ensure!(value >= 0.0, "step=check_settings: {key} is {value}, negative");
        }
        for (key, value) in [
            ("choice.memory_share", choice.memory_share),
            ("choice.slot_share", choice.slot_share),
            ("choice.queue_share", choice.queue_share),
        ] {
            anyhow::ensure!(value > 0.0, "step=check_settings: {key} is {value}, not positive");
        }
        for kept in choice.kept_at {
            let is_share = (0.0..=1.0).contains(&kept);
            anyhow::ensure!(is_share, "step=check_settings: choice.kept_at has {kept}, not 0 to 1");
        }
        let most_homes = choice.most_homes;
        anyhow::ensure!(
            most_homes > 0,
            "step=check_settings: choice.most_homes is {most_homes}, not positive"
        );
        Ok(())
    }
}
