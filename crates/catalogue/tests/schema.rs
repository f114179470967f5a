//! What entries may say.

use notch_catalogue::{
    AccountIndex, CatalogueEntry, EntryTable, TargetClass, check, entry_key, key, key_digest,
    object_key,
};
use notch_messages::entry::{EntryKey, EntryKind, EntryRecord};
use notch_types::{class::TargetKind, prelude::*};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

fn faults(kind: EntryKind, name: &str, text: &str) -> Vec<String> {
    let result = check(kind, name, text.as_bytes());
    result.err().unwrap_or_default().iter().map(ToString::to_string).collect()
}

fn digest_text(key: &str) -> String {
    key_digest(key).iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn little_is_needed() {
    let Ok(CatalogueEntry::Target(target)) = check(EntryKind::Target, "t", br#"{"owner":"o"}"#)
    else {
        panic!("a target needs an owner only")
    };
    assert_eq!((target.class, target.kind), (TargetClass::Mixed, TargetKind::Engine));
    assert!(target.idempotent && !target.fence_checked && !target.retired);
    assert!(target.limits.concurrency > 0 && target.batch.max_attempts > 0);
    assert!(check(EntryKind::Policy, "default", b"{}").is_ok());
    assert!(check(EntryKind::Leaving, "gw-1", b"{}").is_ok());
}

#[test]
fn every_fault_is_told_at_once_and_by_its_field() {
    let text = r#"{"class":"fast","limits":{"queue":-1,"concurency":4,"max_tokens":"many"},
        "idempotent":"yes","non_idempotent_paths":["book"],"kind":"service",
        "model":{"replicas":1,"min_replicas":2},"batch":[]}"#;
    let told = faults(EntryKind::Target, "t", text);
    let fields = [
        "owner is required",
        "class must be one of online, batch, mixed",
        "limits.queue must be between 0 and 65536",
        "limits.max_tokens must be a whole number",
        "limits.concurency is not a field",
        "idempotent must be true or false",
        "non_idempotent_paths must begin with '/'",
        "batch must be an object",
        "model.version is required",
        "model.min_replicas must not be above replicas",
        "model is for engines only",
    ];
    for field in fields {
        assert!(told.iter().any(|fault| fault.starts_with(field)), "{field} in {told:?}");
    }
    assert_eq!(told.len(), fields.len(), "{told:?}");
}

#[rstest]
#[case::not_json(EntryKind::Policy, "default", "{", "is not JSON")]
#[case::not_an_object(EntryKind::Policy, "default", "[]", "must be an object")]
#[case::twice(
    EntryKind::Policy,
    "default",
    r#"{"online_reserve":0.1,"online_reserve":0.9}"#,
    "stands twice"
)]
#[case::weight(EntryKind::Policy, "default", r#"{"latency_weight":1.01}"#, "between 0 and 1")]
#[case::name(EntryKind::Target, "../account/x", r#"{"owner":"o"}"#, "name must be")]
#[case::digest(EntryKind::Account, "a", r#"{"owner":"o","key_sha256":"abc"}"#, "64 hexadecimal")]
#[case::deadline(
    EntryKind::Target,
    "t",
    r#"{"owner":"o","limits":{"default_deadline_ms":9,"max_deadline_ms":8}}"#,
    "must not be above max_deadline_ms"
)]
#[case::null(EntryKind::Target, "t", r#"{"owner":null}"#, "owner must be a text")]
fn what_is_refused(
    #[case] kind: EntryKind,
    #[case] name: &str,
    #[case] text: &str,
    #[case] told: &str,
) {
    let faults = faults(kind, name, text);
    assert!(faults.len() == 1 && faults[0].contains(told), "{faults:?}");
}

#[rstest]
#[case("/book", false)]
#[case("/book/", false)]
#[case("/book/7?x=1", false)]
#[case("/booking", true)]
#[case("/read/book", true)]
fn paths_run_at_most_once_with_all_below_them(#[case] path: &str, #[case] repeats: bool) {
    let text = br#"{"owner":"o","non_idempotent_paths":["/book"]}"#;
    let Ok(CatalogueEntry::Target(target)) = check(EntryKind::Target, "t", text) else {
        panic!("valid")
    };
    assert_eq!(target.may_repeat(path), repeats);
    let never = notch_catalogue::TargetEntry { idempotent: false, ..target };
    assert!(!never.may_repeat(path));
}

#[test]
fn a_key_finds_its_account_until_it_is_retired_or_changed() {
    let mut table = EntryTable::new(10);
    let mut put = |version: u64, key: &str, retired: bool| {
        let digest = digest_text(key);
        let text = format!(r#"{{"owner":"o","key_sha256":"{digest}","retired":{retired}}}"#);
        let record = EntryRecord {
            key: EntryKey { kind: EntryKind::Account, name: "a".to_owned() },
            version: EntryVersion(version),
            body: Payload::from(text.as_str()),
        };
        table.adopt(record);
        ["old", "new"].map(|key| table.find_account(key).is_some())
    };
    assert_eq!(put(1, "old", false), [true, false]);
    assert_eq!(put(2, "new", false), [false, true]);
    assert_eq!(put(3, "new", true), [false, false]);
    let mut index = AccountIndex::default();
    for name in ["b", "a"] {
        index.insert(key_digest("same"), &AccountName::new(name));
    }
    assert_eq!(index.find("same"), Some(&AccountName::new("a")));
    index.remove(&key_digest("same"), &AccountName::new("a"));
    assert_eq!(index.find("same"), Some(&AccountName::new("b")));
    assert_eq!(index.find("other"), None);
}

#[rstest]
#[case("catalogue/target/", None)]
#[case("catalogue/target/a/b", None)]
#[case("catalogue/thing/a", None)]
#[case("ledger/target/a", None)]
#[case("catalogue/target/..", None)]
#[case("catalogue/leaving/gw-1.example", Some(EntryKind::Leaving))]
fn strange_object_keys_are_no_entries(#[case] object: &str, #[case] kind: Option<EntryKind>) {
    assert_eq!(entry_key(object).map(|key| key.kind), kind);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31), cases: 500, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn object_keys_lead_back(name in "[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}", kind in 0_usize..4) {
        let kinds =
            [EntryKind::Account, EntryKind::Target, EntryKind::Policy, EntryKind::Leaving];
        let entry = EntryKey { kind: kinds[kind], name };
        prop_assert_eq!(entry_key(&object_key(&entry)), Some(entry.clone()));
        prop_assert!(key::is_name(&entry.name));
    }

    /// Whatever bytes arrive, the check answers; and a text it takes says the same however its
    /// fields are ordered.
    #[test]
    fn no_text_breaks_the_check(text in ".{0,80}", bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        for kind in [EntryKind::Account, EntryKind::Target, EntryKind::Policy, EntryKind::Leaving] {
            let _ = check(kind, "name", text.as_bytes());
            let _ = check(kind, &text, &bytes);
            let wrapped = format!("{{\"owner\":{text:?},\"retired\":true}}");
            if let Ok(entry) = check(kind, "name", wrapped.as_bytes()) {
                prop_assert!(entry.is_retired());
            }
        }
    }
}
