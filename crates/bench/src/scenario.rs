//! Load scenarios of the measurements.

use crate::fault::FaultPlan;
use crate::plan::ExampleSite;

/// How the callers of the accounts are spread over the routers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallerSpread {
    /// Every caller uses all routers in turn.
    Even,
    /// The heavy accounts use all routers. Each other account uses one router, and
    /// half of these accounts use the same one.
    Uneven,
}

/// Load of one account.
#[derive(Clone, Debug)]
pub(crate) struct AccountLoad {
    /// Number of callers, each with one request in progress at a time.
    pub(crate) callers: usize,
    /// Mean length of an answer, in tokens.
    pub(crate) mean_tokens: f64,
    /// Length of the longest answer, in tokens.
    pub(crate) max_tokens: u64,
    /// Pause of a caller between two requests, in milliseconds.
    pub(crate) pause_ms: u64,
}

/// Load of one run and the faults that are injected during it.
#[derive(Clone, Debug)]
pub(crate) struct LoadScenario {
    pub(crate) name: &'static str,
    pub(crate) site: ExampleSite,
    pub(crate) spread: CallerSpread,
    /// Loads by account, heavier accounts first.
    pub(crate) loads: Vec<AccountLoad>,
    /// Number of callers of the plain service, which send both idempotent and
    /// at-most-once calls.
    pub(crate) plain_callers: usize,
    pub(crate) faults: Vec<FaultPlan>,
}

/// Number of accounts in each example document.
const ACCOUNTS: usize = 16;
/// Number of heavy accounts among them.
const HEAVY_ACCOUNTS: usize = 3;

impl AccountLoad {
    /// Returns a load whose callers send without pauses.
    fn steady(callers: usize) -> Self {
        Self { callers, mean_tokens: 50.0, max_tokens: 400, pause_ms: 0 }
    }
}

/// Returns loads that keep every account backlogged.
fn backlogged_loads() -> Vec<AccountLoad> {
    let callers = |index: usize| if index < HEAVY_ACCOUNTS { 24 } else { 12 };
    (0..ACCOUNTS).map(|index| AccountLoad::steady(callers(index))).collect()
}

/// Returns light loads for `count` accounts.
fn light_loads(count: usize) -> Vec<AccountLoad> {
    let load = AccountLoad { callers: 1, mean_tokens: 30.0, max_tokens: 120, pause_ms: 400 };
    vec![load; count]
}

/// Returns a scenario of backlogged accounts, evenly spread and without faults.
fn base_scenario(name: &'static str, site: ExampleSite) -> LoadScenario {
    LoadScenario {
        name,
        site,
        spread: CallerSpread::Even,
        loads: backlogged_loads(),
        plain_callers: 0,
        faults: Vec::new(),
    }
}

/// Returns every scenario.
pub(crate) fn scenarios() -> Vec<LoadScenario> {
    let alliance = ExampleSite::Alliance;
    let mut flood = light_loads(ACCOUNTS);
    flood[0] = AccountLoad::steady(120);
    let mut mixed = backlogged_loads();
    mixed[HEAVY_ACCOUNTS].mean_tokens = 200.0;
    mixed[HEAVY_ACCOUNTS].max_tokens = 1_600;
    let uneven =
        |name, site| LoadScenario { spread: CallerSpread::Uneven, ..base_scenario(name, site) };
    let with_fault = |name, fault| LoadScenario {
        plain_callers: 8,
        faults: vec![fault],
        ..uneven(name, alliance)
    };
    vec![
        base_scenario("even", alliance),
        uneven("uneven", alliance),
        uneven("agency", ExampleSite::Agency),
        LoadScenario { loads: light_loads(ACCOUNTS), ..base_scenario("calm", alliance) },
        LoadScenario { loads: flood, ..base_scenario("flood", alliance) },
        LoadScenario { loads: mixed, ..uneven("mixed", alliance) },
        with_fault("kill", FaultPlan::Kill { router: 1 }),
        with_fault("partition", FaultPlan::Partition),
        with_fault("freeze", FaultPlan::Freeze { router: 1 }),
        LoadScenario {
            faults: vec![
                FaultPlan::Partition,
                FaultPlan::Kill { router: 4 },
                FaultPlan::Freeze { router: 7 },
            ],
            ..with_fault("storm", FaultPlan::Partition)
        },
    ]
}

/// Returns the names of the scenarios, as the command line accepts them.
pub fn scenario_names() -> Vec<&'static str> {
    scenarios().into_iter().map(|scenario| scenario.name).collect()
}
