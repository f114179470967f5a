//! `lab`: load patterns in virtual time.

use notch_lab::prelude::*;

use super::{args::LabArgs, error::CliError, output::CommandOutput};

/// Plays the patterns asked for and shows how the policies compare.
pub(super) fn run(args: &LabArgs, output: &mut CommandOutput) -> Result<(), CliError> {
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

fn patterns(args: &LabArgs) -> Result<Vec<LoadPattern>, CliError> {
    let Some(name) = &args.pattern else { return Ok(LoadPattern::all()) };
    let known = LoadPattern::named(name).ok_or_else(|| {
        let names: Vec<&str> = LoadPattern::all().iter().map(|pattern| pattern.name).collect();
        CliError::Usage(format!("no pattern {name}; there are: {}", names.join(", ")))
    });
    Ok(vec![known?])
}
