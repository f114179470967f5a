//! Command that explains the losses in a day's score.

use std::{fs, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use notch_losses::prelude::*;

/// Tells where a day's worth went, from the joined logs of its gateways and its report.
#[derive(Debug, FromArgs)]
struct LossOptions {
    /// joined logs: each line begins with its time in seconds and the process's VM
    #[argh(option)]
    logs: PathBuf,
    /// the day's report, JSON
    #[argh(option)]
    report: Option<PathBuf>,
    /// latency objective to the first event, milliseconds
    #[argh(option, default = "300.0")]
    objective: f64,
    /// places of each target
    #[argh(option, default = "8")]
    slots: usize,
}

#[expect(clippy::print_stdout, reason = "the output is for people")]
fn main() -> ExitCode {
    let options: LossOptions = argh::from_env();
    match render(&options) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            print!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn render(options: &LossOptions) -> Result<String, String> {
    let mut text = String::new();
    if let Some(path) = &options.report {
        let bytes = fs::read(path).map_err(|error| format!("{}: {error}\n", path.display()))?;
        let report: DayReport = serde_json::from_slice(&bytes)
            .map_err(|error| format!("{}: {error}\n", path.display()))?;
        text += &format!("worth {:.3}; taken off:\n", report.score);
        for (name, lost) in report.losses() {
            text += &format!("  {lost:7.3} {name}\n");
        }
        text += "tries as clients saw them end:\n";
        for (end, count) in &report.ends {
            text += &format!("  {count:6} {end}\n");
        }
    }
    let logs = fs::read(&options.logs)
        .map_err(|error| format!("{}: {error}\n", options.logs.display()))?;
    let logs = String::from_utf8_lossy(&logs);
    let mut lines: Vec<LogLine> = logs.lines().filter_map(LogLine::parse).collect();
    lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    text += &LossSummary::of_lines(&lines, options.objective, options.slots).to_string();
    Ok(text)
}
