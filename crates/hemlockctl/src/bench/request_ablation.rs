//! Simulates a load under the policy, the baseline and the policy without each mechanism.

use admission::AdmissionConfig;

use super::request_load::Load;
use super::request_record::Record;
use super::request_sim::{LossPeriod, SimulationSettings, run};

/// Returns the configuration of the policy.
fn policy_config() -> AdmissionConfig {
    AdmissionConfig {
        // These benchmarks simulate a single data centre.
        spill: false,
        ..AdmissionConfig::default()
    }
}

/// Returns settings in which nodes exchange rows and no attempts are lost.
const fn settings_without_losses(config: AdmissionConfig) -> SimulationSettings {
    SimulationSettings {
        config,
        exchanges_rows: true,
        losses: None,
    }
}

/// Simulates the policy, the baseline and the policy without a retry budget, with the loss of
/// attempts in `losses`.
pub(crate) fn run_with_losses(load: &Load, seed: u64, losses: LossPeriod) -> [Record; 3] {
    let without_budget = AdmissionConfig {
        retry_budget: false,
        ..policy_config()
    };
    [policy_config(), AdmissionConfig::baseline(), without_budget].map(|config| {
        let settings = SimulationSettings {
            losses: Some(losses),
            ..settings_without_losses(config)
        };
        run(load, seed, settings)
    })
}

/// Simulates the policy.
pub(crate) fn run_policy(load: &Load, seed: u64) -> Record {
    run(load, seed, settings_without_losses(policy_config()))
}

/// Simulates the baseline.
pub(crate) fn run_baseline(load: &Load, seed: u64) -> Record {
    run(
        load,
        seed,
        settings_without_losses(AdmissionConfig::baseline()),
    )
}

/// Simulates the policy without each mechanism in turn, and with hedging, which is off by default.
pub(crate) fn run_ablations(load: &Load, seed: u64) -> Vec<(&'static str, Record)> {
    let policy = policy_config();
    let setups = [
        (
            "lanes",
            AdmissionConfig {
                lanes: false,
                ..policy
            },
        ),
        (
            "adaptive_reserve",
            AdmissionConfig {
                adaptive_reserve: false,
                ..policy
            },
        ),
        (
            "straggler_lane",
            AdmissionConfig {
                straggler_lane: false,
                ..policy
            },
        ),
        (
            "shedding",
            AdmissionConfig {
                shedding: false,
                ..policy
            },
        ),
        (
            "fresh_first",
            AdmissionConfig {
                fresh_first: false,
                ..policy
            },
        ),
        (
            "share_order",
            AdmissionConfig {
                share_order: false,
                ..policy
            },
        ),
        (
            "node_share",
            AdmissionConfig {
                node_share: false,
                ..policy
            },
        ),
        (
            "adaptive_concurrency",
            AdmissionConfig {
                adaptive_concurrency: false,
                ..policy
            },
        ),
        (
            "two_choices",
            AdmissionConfig {
                two_choices: false,
                ..policy
            },
        ),
        (
            "hedging_on",
            AdmissionConfig {
                hedging: true,
                ..policy
            },
        ),
    ];
    let mut records: Vec<_> = setups
        .into_iter()
        .map(|(name, config)| (name, run(load, seed, settings_without_losses(config))))
        .collect();
    let without_rows = SimulationSettings {
        exchanges_rows: false,
        ..settings_without_losses(policy)
    };
    records.push(("rows", run(load, seed, without_rows)));
    records
}
