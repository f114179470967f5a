//! Log lines as pairs and as JSON, from a node's log and from libraries.

use std::sync::Mutex;

use log::{Level, LevelFilter, Log, Metadata, Record};
use notch_telemetry::prelude::*;
use notch_types::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// Collects the lines instead of writing them.
struct LineKeeper(Mutex<Vec<LogLine>>);

static KEEPER: LineKeeper = LineKeeper(Mutex::new(Vec::new()));

impl Log for LineKeeper {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = LogLine::new("T", record, "process-vm", "process-domain");
        self.0.lock().expect("no panic while held").push(line);
    }

    fn flush(&self) {}
}

#[test]
fn a_nodes_lines_have_its_vm_and_respect_the_level() {
    log::set_logger(&KEEPER).expect("the only logger of this process");
    assert!(!init_logs(LogSettings::default()), "the first logger stays");
    log::set_max_level(LevelFilter::Info);
    let node = NodeLog::new(&VmName::new("a"), &DomainName::new("east"));
    node.info("link_replaced", &[("peer", &"b c"), ("silent_ms", &2_000)]);
    node.debug("not_heard", &[]);
    log::warn!("from a library");
    let lines = KEEPER.0.lock().expect("no panic while held");
    let text: Vec<String> = lines.iter().map(|line| line.render(LogStyle::Text)).collect();
    assert_eq!(
        text,
        [
            "time=T level=info vm=a domain=east event=link_replaced peer=\"b c\" silent_ms=2000",
            "time=T level=warn vm=process-vm domain=process-domain message=\"from a library\"",
        ]
    );
    let json: serde_json::Value =
        serde_json::from_str(&lines[0].render(LogStyle::Json)).expect("JSON");
    assert_eq!(json["peer"], "b c");
    assert_eq!(json["vm"], "a");
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(3), cases: 256, failure_persistence: None, ..Config::default()
    })]

    /// Whatever a message contains, it is written as one line and one pair.
    #[test]
    fn a_message_cannot_inject_a_line(message in any::<String>()) {
        let line = LogLine::new(
            "T",
            &Record::builder().level(Level::Info).args(format_args!("{message}")).build(),
            "a",
            "east",
        );
        let text = line.render(LogStyle::Text);
        prop_assert_eq!(text.lines().count(), 1);
        prop_assert!(!text.chars().any(char::is_control));
        if !message.is_empty() {
            let json: serde_json::Value = serde_json::from_str(&line.render(LogStyle::Json))?;
            prop_assert_eq!(json["message"].as_str(), Some(message.as_str()));
        }
    }
}
