//! The rules with their names and severities.

use std::fmt;

use serde::Serialize;

/// How grave a finding is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LintSeverity {
    /// The configuration must not be sent.
    Error,
    /// Something will not work as it is written, or callers notice a change.
    Warning,
    /// A difference from the configuration in force that callers do not notice.
    Notice,
}

impl fmt::Display for LintSeverity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Notice => "notice",
        })
    }
}

macro_rules! rules {
    ($($(#[$doc:meta])* $rule:ident = $name:literal $severity:ident,)*) => {
        /// A rule. Scripts refer to rules by name, so names do not change.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum LintRule {
            $($(#[$doc])* $rule,)*
        }

        impl LintRule {
            pub const ALL: &[Self] = &[$(Self::$rule,)*];

            pub fn name(self) -> &'static str {
                match self { $(Self::$rule => $name,)* }
            }

            pub fn severity(self) -> LintSeverity {
                match self { $(Self::$rule => LintSeverity::$severity,)* }
            }
        }
    };
}

rules! {
    /// The text can't be decoded.
    Unreadable = "unreadable" Error,
    MissingField = "missing-field" Error,
    WrongType = "wrong-type" Error,
    DuplicateField = "duplicate-field" Error,
    DuplicateRouteName = "duplicate-route-name" Error,
    DuplicateServiceName = "duplicate-service-name" Error,
    /// Two routes have the same host and prefix.
    DuplicateRoutePath = "duplicate-route-path" Error,
    UnknownService = "unknown-service" Error,
    /// A prefix does not begin and end with a slash.
    BadPrefix = "bad-prefix" Error,
    /// A route has no service to send to.
    NoService = "no-service" Error,
    /// Two routes have the same prefix, and hosts that differ only in case.
    ShadowedRoute = "shadowed-route" Warning,
    /// A host has capital letters.
    HostCase = "host-case" Warning,
    /// A host has a port, which is not compared.
    HostPort = "host-port" Warning,
    ZeroWeight = "zero-weight" Warning,
    UnusedService = "unused-service" Warning,
    AccountWithoutKey = "account-without-key" Warning,
    SharedKey = "shared-key" Warning,
    DuplicateAccount = "duplicate-account" Warning,
    ZeroTimeout = "zero-timeout" Warning,
    LatencyOverTimeout = "latency-over-timeout" Warning,
    AttemptsOverTimeout = "attempts-over-timeout" Warning,
    IdleUnderHeader = "idle-under-header" Warning,
    ZeroBody = "zero-body" Warning,
    VersionNotHigher = "version-not-higher" Error,
    RouteAdded = "route-added" Notice,
    /// A route is added that takes requests from a shorter prefix.
    RouteTakesOver = "route-takes-over" Warning,
    RouteRemoved = "route-removed" Warning,
    RouteMoved = "route-moved" Warning,
    RouteChanged = "route-changed" Warning,
    ServiceAdded = "service-added" Notice,
    ServiceRemoved = "service-removed" Warning,
    ServiceChanged = "service-changed" Notice,
    AccountAdded = "account-added" Notice,
    KeyAdded = "key-added" Notice,
    KeyMoved = "key-moved" Warning,
    KeyRemoved = "key-removed" Warning,
    LimitsChanged = "limits-changed" Notice,
}
