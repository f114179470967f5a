//! Reading, checking and writing settings.

use std::time::Duration;

use notch_settings::{
    file::{parse_bytes, parse_duration, render_bytes, render_duration},
    prelude::*,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;

fn config(seed: u64) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(seed),
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    }
}

fn gateway(text: &str) -> Result<GatewayConfig, SettingsErrors> {
    GatewayConfig::from_file(&SettingsFile::parse(text))
}

fn sidecar(text: &str) -> Result<SidecarConfig, SettingsErrors> {
    SidecarConfig::from_file(&SettingsFile::parse(text))
}

#[test]
fn every_fault_is_told_at_once_with_section_key_and_line() {
    let text = "\
stray = 1
[node]
vm = a b
domian = east
[ledger]
lease = 3
renew = 2s
commit_delay_max = 9s
lease = 4s
this is no line
[weather]
sun = yes
[limits]
body = 3KB
body_max = 3KB
connections = 0
";
    let errors = gateway(text).expect_err("nine faults");
    let lines: Vec<String> = errors.0.iter().map(ToString::to_string).collect();
    let expected = [
        "[node] domain: missing; expected 1 to 64 of a-z A-Z 0-9 . _ -",
        "line 1: stray: unknown key",
        "line 3: [node] vm: `a b`: expected 1 to 64 of a-z A-Z 0-9 . _ -",
        "line 4: [node] domian: unknown key",
        "line 6: [ledger] lease: `3`: expected a duration with its unit, such as 250ms or 4s",
        "line 8: [ledger] commit_delay_max: commit_delay_max is not shorter than renew",
        "line 8: [ledger] commit_delay_max: commit_delay_max is not shorter than lease",
        "line 9: [ledger] lease: repeated; first on line 6",
        "line 10: [ledger] not a section, key or comment: `this is no line`",
        "line 11: [weather] unknown section",
        "line 15: [limits] body_max: unknown key",
        "line 16: [limits] connections: `0` is not from 1 to 100000",
    ];
    assert_eq!(lines, expected);
}

const NODE: &str = "[node]\nvm = a\ndomain = d\n";

#[rstest]
#[case("[ledger]\nlease = 3s\nrenew = 2s", "lease", 5)]
#[case("[ledger]\nrenew = 3s", "lease", 0)]
#[case("[ledger]\ngrace = 7s", "grace", 5)]
#[case("[ledger]\ncommit_delay_max = 1s", "commit_delay_max", 5)]
#[case("[placement]\nlease = 5s\nrenew = 3s", "lease", 5)]
#[case("[placement]\nstandby_poll = 10s", "standby_poll", 5)]
#[case("[links]\nsilence = 900ms", "silence", 5)]
#[case("[links]\nsecret = 0123456789abcdef\nsecret_file = x", "secret", 5)]
#[case("[links]\nsecret = short", "secret", 5)]
#[case("[listen]\ncallers = 127.0.0.1:7101", "links", 0)]
#[case("[listen]\nmetrics = 127.0.0.1:7101", "metrics", 5)]
#[case("[membership]\nsuspect_after = 800ms", "suspect_after", 5)]
#[case("[membership]\nping_timeout = 500ms", "ping_timeout", 5)]
#[case("[online]\ndeadline = 6m", "deadline", 5)]
#[case("[platform]\nconnect_timeout = 3s", "connect_timeout", 5)]
#[case("[jobs]\nmax_line = 512KB\nresult_buffer = 64KB", "result_buffer", 6)]
fn clashes_name_their_key(#[case] text: &str, #[case] key: &str, #[case] line: usize) {
    let errors = gateway(&format!("{NODE}{text}\n")).expect_err("a clash");
    let found: Vec<(&str, usize)> = errors.0.iter().map(|e| (e.key.as_str(), e.line)).collect();
    assert_eq!(found, [(key, line)], "{errors}");
    assert!(matches!(errors.0[0].problem, SettingsProblem::Clash { .. }));
}

#[rstest]
#[case("[target]\nname = m\nkind = oven", "kind")]
#[case("[target]\nname = m\nchecks_fencing = true", "checks_fencing")]
#[case("[target]\nname = m\naddress = localhost:1", "address")]
#[case("[target]\nkind = engine", "name")]
#[case("[target]\nname = m\n[admission]\nonline_reserve = 1.5", "online_reserve")]
#[case("[target]\nname = m\n[admission]\nanswer_buffer = 64", "answer_buffer")]
#[case("[target]\nname = m\n[admission]\nlimit_max = 8\nlimit_start = 9", "limit_start")]
#[case("[target]\nname = m\n[ledger]\nshards = 8", "")]
#[case("[target]\nname = m\n[logging]\nlevel = loud", "level")]
fn a_sidecar_s_faults_name_their_key(#[case] text: &str, #[case] key: &str) {
    let errors = sidecar(&format!("{NODE}{text}\n")).expect_err("a fault");
    let found: Vec<&str> = errors.0.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(found, [key], "{errors}");
}

#[test]
fn values_are_taken_as_written() {
    let text = format!(
        "# a comment\n{NODE}data = /var/lib/a=b;c\n[ledger]\nlease=1m 30s\ninline_limit = 8KB\n\
         [links]\nsecret = 0123456789abcdef # in it\n; end\n"
    );
    let config = gateway(&text).expect("valid");
    assert_eq!(config.node.data.as_deref(), Some(std::path::Path::new("/var/lib/a=b;c")));
    assert_eq!(config.ledger.lease, Duration::from_secs(90));
    assert_eq!(config.ledger.inline_limit, 8 << 10);
    assert_eq!(config.links.secret.as_deref(), Some("0123456789abcdef # in it"));
    assert_eq!(config.links.secret_file, None);
    assert!(!format!("{config:?}").contains("0123456789abcdef"), "a log line could carry it");
}

#[test]
fn rendered_defaults_parse_back() {
    let config = GatewayConfig::default();
    assert_eq!(gateway(&config.render()), Ok(config));
    let config = SidecarConfig::default();
    assert_eq!(sidecar(&config.render()), Ok(config));
}

#[test]
fn an_unreadable_file_is_told() {
    let path = std::path::Path::new("/nonexistent/settings.ini");
    let errors = SettingsFile::load(path).expect_err("not there");
    assert!(matches!(errors.0[0].problem, SettingsProblem::Unreadable { .. }));
}

/// Text made of what settings are made of, so that the parser gets past the first character.
fn settings_like() -> impl Strategy<Value = String> {
    let piece = prop::sample::select(vec![
        "[",
        "]",
        "=",
        ":",
        ";",
        "#",
        "\n",
        "\r\n",
        " ",
        "\t",
        "\\",
        "\"",
        "'",
        "node",
        "vm",
        "links",
        "ledger",
        "lease",
        "4s",
        "250ms",
        "99999999999999999999s",
        "256KB",
        "18446744073709551615GB",
        "-1",
        "0",
        "é",
        "\u{0}",
        "10.0.0.1:70000",
    ]);
    prop::collection::vec(piece, 0..60).prop_map(|pieces| pieces.concat())
}

proptest! {
    #![proptest_config(config(1))]

    #[test]
    fn no_text_makes_it_panic(text in prop_oneof![any::<String>(), settings_like()]) {
        let lines = text.lines().count();
        for errors in [gateway(&text).err(), sidecar(&text).err()].into_iter().flatten() {
            prop_assert!(!errors.0.is_empty());
            prop_assert!(errors.0.iter().all(|error| error.line <= lines));
            prop_assert!(errors.0.is_sorted_by_key(|error| error.line));
        }
    }

    /// A line put anywhere into valid settings is either harmless or told with its own line.
    #[test]
    fn a_bad_line_is_told_where_it_stands(at in 0_usize..80, junk in "[a-z]{1,8}( [a-z]{1,8})?") {
        let good = GatewayConfig::default().render();
        let mut lines: Vec<&str> = good.lines().collect();
        let at = at.min(lines.len());
        lines.insert(at, &junk);
        let errors = gateway(&lines.join("\n")).expect_err("junk is no setting");
        prop_assert_eq!(errors.0.len(), 1);
        prop_assert_eq!(errors.0[0].line, at + 1);
    }

    #[test]
    fn durations_and_bytes_read_back(micros in 1_u64..1 << 40, bytes in any::<u64>()) {
        let duration = Duration::from_micros(micros);
        prop_assert_eq!(parse_duration(&render_duration(duration)), Some(duration));
        prop_assert_eq!(parse_bytes(&render_bytes(bytes)), Some(bytes));
    }
}
