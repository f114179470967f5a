//! The cases of the review. `cases NAME FOLDER` plays one and writes FOLDER/record.txt. The exit code is 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the environment there is no disruption.

mod gateway;
mod json;
mod late_request;
mod record;
mod restarted_target;
mod store;
mod stored_results;
mod target;
mod wire;

use std::{env, fs, panic, path::PathBuf, process, thread, time::Duration};

use record::Record;

/// A case ends by itself long before.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

/// Where a case is played.
pub struct Stage {
    pub record: Record,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

fn end(code: i32) -> ! {
    gateway::end_all();
    process::exit(code)
}

fn main() {
    panic::set_hook(Box::new(|fault| {
        eprintln!("{fault}");
        end(2);
    }));
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        end(2);
    };
    let temporary = env::temp_dir().join(format!("review-{case}-{}", process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    if !gateway::Gateway::is_built() {
        eprintln!("the build of the deploy file has not run");
        end(2);
    }
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        end(2);
    });
    let record = Record::create(&PathBuf::from(folder));
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(if has_trouble { "with the disruption" } else { "without the disruption" });
    let stage = Stage { record: record.clone(), folder: temporary.clone(), has_trouble };
    let outcome = match case.as_str() {
        "stored-results" => stored_results::play(&stage),
        "late-request" => late_request::play(&stage),
        "restarted-target" => restarted_target::play(&stage),
        _ => Outcome::NotRun,
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held"),
        Outcome::Broken => (1, "THE RULE WAS BROKEN"),
        Outcome::NotRun => (2, "the case could not run"),
    };
    record.note(text);
    println!("{case}: {text}");
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    } else {
        println!("logs in {}", temporary.display());
    }
    end(code)
}
