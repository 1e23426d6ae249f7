//! Settings of the gateway.

use std::net::SocketAddr;

use admit::ResourceSettings;
use base::Name;
use rate::ColdBounds;
use serde::{Deserialize, Serialize};
use target::{SelectionSettings, TargetSelection};

/// Settings file of the gateway. Unknown keys are rejected.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    pub instance: Name,
    pub failure_domain: Name,
    pub listen: ListenSettings,
    /// Addresses of some routers, as in their `listen.peers`, through which this
    /// router finds the others. They may be outdated, unreachable, or this
    /// router's own.
    pub seeds: Vec<SocketAddr>,
    /// Address of the configuration source.
    pub source: SocketAddr,
    #[serde(default)]
    pub bounds: BoundSettings,
    #[serde(default)]
    pub resources: ResourceSettings,
    #[serde(default)]
    pub admission: AdmissionSettings,
    #[serde(default)]
    pub choice: SelectionSettings,
    #[serde(default = "default_log")]
    pub log: Name,
}

/// Addresses that the gateway listens on. All routers use the same ports.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    /// Callers' queries for the router addresses to use.
    pub addresses: SocketAddr,
    /// HTTP requests between routers.
    pub peers: SocketAddr,
    /// Heartbeats between routers, as UDP datagrams.
    pub beats: SocketAddr,
    /// Serves metrics as text; none to disable it.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Limits that the fleet has to keep.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Time between the stop signal and the kill of the process, in seconds.
    pub stop_s: f64,
    /// Retries per request of a service, in any window.
    pub repeat_ratio: f64,
    /// Retries of a service beyond the ratio, across the fleet, in any window.
    pub repeat_allowance: f64,
    /// Length of the retry window, in seconds.
    pub repeat_window_s: f64,
    /// Window within which client accounts must get their shares, in seconds.
    pub share_window_s: f64,
    /// Longest lease of an address response, in seconds.
    pub longest_lease_s: f64,
    /// Factor of the rate that a cold target tolerates which it gets from all instances at most
    /// in any one second. `None` if the platform has no such bound; cold targets are then not
    /// limited.
    pub cold_overage: Option<f64>,
    /// Requests in any one second beyond that factor.
    pub cold_slack: Option<f64>,
}

impl BoundSettings {
    /// Returns the bound of cold targets, if there is one.
    pub fn cold(&self) -> Option<ColdBounds> {
        let overage = self.cold_overage?;
        Some(ColdBounds { overage, slack: self.cold_slack.unwrap_or_default() })
    }
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
            cold_overage: None,
            cold_slack: None,
        }
    }
}

/// How capacity is shared among client accounts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// A target with fewer requests per slot than this also gets requests over
    /// their account's share, so that no request is refused while targets
    /// have spare capacity.
    pub room_share: f64,
    /// Longest expected wait of such a request behind others, as a fraction of
    /// the route's target latency.
    pub room_until: f64,
    /// Factor by which granted shares exceed the computed ones, as costs are
    /// estimates.
    pub headroom: f64,
    /// Delay after which a refused caller may retry, as a fraction of the
    /// route's target latency, so that the retry can still succeed in time.
    pub return_share: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { room_share: 0.15, room_until: 0.2, headroom: 1.1, return_share: 0.2 }
    }
}

impl AdmissionSettings {
    /// Returns whether the selected target has the spare capacity that a request
    /// over its account's share needs. `target_latency_ms` is that of its route.
    pub fn has_spare_capacity(&self, selection: &TargetSelection, target_latency_ms: u64) -> bool {
        selection.occupancy < self.room_share
            && selection.waiting_ms <= target_latency_ms as f64 * self.room_until
    }
}

fn default_log() -> Name {
    "info,ntex_server=warn,ntex_service=warn,ntex=warn".into()
}

impl GatewaySettings {
    /// Checks the constraints that the types do not express.
    ///
    /// # Errors
    /// Returns an error that names the first key with an invalid value.
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
            anyhow::ensure!(value > 0.0, "step=check_settings: {key} is {value}, must be positive");
        }
        for (key, value) in [
            ("bounds.repeat_ratio", bounds.repeat_ratio),
            ("bounds.repeat_allowance", bounds.repeat_allowance),
            ("bounds.cold_overage", bounds.cold_overage.unwrap_or_default()),
            ("bounds.cold_slack", bounds.cold_slack.unwrap_or_default()),
        ] {
            anyhow::ensure!(
                value >= 0.0,
                "step=check_settings: {key} is {value}, must not be negative"
            );
        }
        self.resources.check()?;
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
            anyhow::ensure!(
                value >= 0.0,
                "step=check_settings: {key} is {value}, must not be negative"
            );
        }
        let headroom = admission.headroom;
        anyhow::ensure!(
            headroom > 0.0,
            "step=check_settings: admission.headroom is {headroom}, must be positive"
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
            anyhow::ensure!(
                value >= 0.0,
                "step=check_settings: {key} is {value}, must not be negative"
            );
        }
        for (key, value) in [
            ("choice.memory_share", choice.memory_share),
            ("choice.slot_share", choice.slot_share),
            ("choice.queue_share", choice.queue_share),
        ] {
            anyhow::ensure!(value > 0.0, "step=check_settings: {key} is {value}, must be positive");
        }
        for kept in choice.kept_at {
            let is_fraction = (0.0..=1.0).contains(&kept);
            anyhow::ensure!(
                is_fraction,
                "step=check_settings: choice.kept_at has {kept}, must be 0 to 1"
            );
        }
        let most_homes = choice.most_homes;
        anyhow::ensure!(
            most_homes > 0,
            "step=check_settings: choice.most_homes is {most_homes}, must be positive"
        );
        Ok(())
    }
}
