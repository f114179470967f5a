//! `lab`: load patterns in virtual time.

use std::fmt::Debug;

use notch_lab::prelude::*;
use serde::Serialize;

use super::{args::LabArgs, error::CliError, output::CommandOutput};

/// Plays the patterns asked for and shows how the policies compare.
pub(super) fn run(args: &LabArgs, output: &mut CommandOutput) -> Result<(), CliError> {
    if let Some(study) = args.pattern.as_deref().and_then(LabStudy::named) {
        show_study(study, args.seeds.max(1), output);
        return Ok(());
    }
    let policies = args.compare.split(',').map(|name| name.trim().parse());
    let policies: Vec<SelectionPolicy> =
        policies.collect::<Result<_, _>>().map_err(CliError::Usage)?;
    for pattern in patterns(args)? {
        let comparison = PatternComparison::run(&pattern, &policies, args.seeds.max(1));
        if output.is_json() {
            output.json(&comparison);
        } else {
            comparison.table().lines().for_each(|line| output.line(line));
        }
    }
    Ok(())
}

/// A study of one decision, beside doing without it.
#[derive(Debug, Clone, Copy)]
enum LabStudy {
    CrashingPart,
    CrowdedGateway,
    TakenUpStreams,
}

impl LabStudy {
    /// Names of all studies.
    const NAMES: [&str; 3] = ["crashing-part", "crowded-gateway", "taken-up-streams"];

    fn named(name: &str) -> Option<Self> {
        match name {
            "crashing-part" => Some(Self::CrashingPart),
            "crowded-gateway" => Some(Self::CrowdedGateway),
            "taken-up-streams" => Some(Self::TakenUpStreams),
            _ => None,
        }
    }
}

fn show_study(study: LabStudy, seeds: u64, output: &mut CommandOutput) {
    for seed in 1..=seeds {
        match study {
            LabStudy::CrashingPart => {
                let with = CrashingPartStudy::default();
                let without = CrashingPartStudy { refuses_suspects: false, ..with.clone() };
                show_pair(seed, &with.run(seed), &without.run(seed), output);
            }
            LabStudy::CrowdedGateway => {
                let with = CrowdedGatewayStudy::default();
                let without = CrowdedGatewayStudy { turns_away: false, ..with.clone() };
                show_pair(seed, &with.run(seed), &without.run(seed), output);
            }
            LabStudy::TakenUpStreams => {
                let with = TakenUpStudy::default();
                let without = TakenUpStudy { keeps_versions: false, ..with.clone() };
                show_pair(seed, &with.run(seed), &without.run(seed), output);
            }
        }
    }
}

fn show_pair<T: Serialize + Debug>(seed: u64, with: &T, without: &T, output: &mut CommandOutput) {
    if output.is_json() {
        return output.json(&(seed, with, without));
    }
    output.line(&format!("seed {seed}: {with:?}"));
    output.line(&format!("  without the decision: {without:?}"));
}

fn patterns(args: &LabArgs) -> Result<Vec<LoadPattern>, CliError> {
    let Some(name) = &args.pattern else { return Ok(LoadPattern::all()) };
    let known = LoadPattern::named(name).ok_or_else(|| {
        let names: Vec<&str> = LoadPattern::all().iter().map(|pattern| pattern.name).collect();
        let studies = LabStudy::NAMES.join(", ");
        CliError::Usage(format!(
            "no pattern {name}; there are: {}; studies: {studies}",
            names.join(", ")
        ))
    });
    Ok(vec![known?])
}
