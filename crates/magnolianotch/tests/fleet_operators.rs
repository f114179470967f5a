//! Operators who race, entries that are wrong, and old copies that must not come back.

mod support;

use futures_util::future::join;
use magnolianotch::{
    fleet::{FleetSettings, LocalFleet},
    load::{LoadClient, OnlinePrompt, ReplyEnd},
};
use notch_catalogue::key_digest;
use notch_http::prelude::*;
use notch_messages::prelude::EntryKind;
use notch_standins::FaultSettings;
use serde_json::{Value, json};

use support::{caller::FleetCaller, find, small_fleet, until, with_fleet};

const OPERATOR_KEY: &str = "operators-key";

fn settings() -> FleetSettings {
    let mut settings = small_fleet();
    let digest = key_digest(OPERATOR_KEY);
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    settings.gateway.operators.key_sha256 = Some(hex);
    settings
}

/// An operator of gateway `turn`.
struct Operator {
    client: LoadClient,
    path: String,
}

impl Operator {
    fn new(fleet: &LocalFleet, turn: usize) -> Self {
        let address = fleet.gateways[turn].as_ref().expect("it runs").callers();
        let client = LoadClient::new(&HttpClient::default(), address, OPERATOR_KEY);
        let path = format!("/v1/operator/catalogue/target/{}", fleet.settings().profile.model);
        Self { client, path }
    }

    /// The entry in the store and its version.
    async fn get(&self) -> (Value, u64) {
        let request = self.client.request(Method::Get, &self.path, Body::empty());
        let (status, body) = self.client.whole(request).await.expect("an answer");
        assert_eq!(status, 200, "{body}");
        let json: Value = serde_json::from_str(&body).expect("JSON");
        (json["entry"].clone(), json["version"].as_u64().expect("a version"))
    }

    async fn put(&self, entry: &Value, base: u64) -> (u16, Value) {
        let mut request = self.client.request(Method::Put, &self.path, entry.to_string());
        request.insert_header("if-match", format!("\"{base}\""));
        let (status, body) = self.client.whole(request).await.expect("an answer");
        (status, serde_json::from_str(&body).unwrap_or(Value::Null))
    }

    /// The version in force, and at how many gateways, as this gateway's survey says.
    async fn in_force(&self) -> Option<(u64, u64)> {
        let path = "/v1/operator/catalogue-status";
        let request = self.client.request(Method::Get, path, Body::empty());
        let (_, body) = self.client.whole(request).await?;
        let json: Value = serde_json::from_str(&body).ok()?;
        let name = self.path.rsplit('/').next()?;
        let entries = json["entries"].as_array()?;
        let entry = entries.iter().find(|entry| entry["name"] == name)?;
        Some((entry["version"].as_u64()?, entry["gateways"].as_u64()?))
    }

    async fn until_in_force(&self, version: u64, gateways: u64) {
        find("the version is in force", || async {
            (self.in_force().await? == (version, gateways)).then_some(())
        })
        .await;
    }
}

fn with_queue(entry: &Value, queue: u32) -> Value {
    let mut entry = entry.clone();
    entry["limits"]["queue"] = json!(queue);
    entry
}

// Symptom: one operator's edit vanishes without a word.
// Sequence: two operators read the same entry and write it through two gateways at the same time.
// Cause: the later write is made over a version that its author never saw.
#[test]
fn of_two_edits_one_loses_and_is_shown_both_sides() {
    with_fleet(settings(), |fleet| async move {
        let (one, two) = (Operator::new(&fleet, 0), Operator::new(&fleet, 1));
        let (entry, base) = one.get().await;
        let (mine, yours) = (with_queue(&entry, 41), with_queue(&entry, 42));
        let (first, second) = join(one.put(&mine, base), two.put(&yours, base)).await;
        let (won, lost) = if first.0 < 300 { (&first, &second) } else { (&second, &first) };
        assert!(won.0 < 300, "one wins: {first:?}, {second:?}");
        assert_eq!(lost.0, 412, "the other loses: {lost:?}");
        assert_eq!(lost.1["error"]["code"], "version_conflict");
        let (stored, version) = one.get().await;
        assert_eq!(lost.1["conflict"]["stored"], stored, "the side in force is shown");
        let difference = lost.1["conflict"]["difference"].as_str().expect("a text");
        assert!(difference.contains("41") && difference.contains("42"), "{difference}");
        one.until_in_force(version, 2).await;
        two.until_in_force(version, 2).await;
        fleet
    });
}

// Symptom: a wrong entry takes a model out of the fleet.
// Sequence: an operator puts a wrong entry: refused. Then one is written past the gateways.
// Cause: what arrives from the store is trusted because somebody should have checked it.
#[test]
fn an_invalid_entry_leaves_the_last_valid_one_in_force() {
    with_fleet(settings(), |fleet| async move {
        let operator = Operator::new(&fleet, 0);
        let model = fleet.settings().profile.model;
        let (entry, base) = operator.get().await;
        let wrong = with_queue(&entry, 1_000_000);
        let (status, answer) = operator.put(&wrong, base).await;
        assert!((400..500).contains(&status), "{answer}");
        assert_eq!(answer["error"]["code"], "invalid_entry");
        assert_eq!(operator.get().await.1, base, "nothing was written");
        fleet.put_entry(EntryKind::Target, model, &wrong).await.expect("the store takes it");
        let caller = FleetCaller::new(fleet.callers());
        for number in 0..20 {
            let prompt = OnlinePrompt::numbered("wrong", number, 30, 12);
            let end = caller.chat_once(number as usize, &prompt, model, None).await;
            assert_eq!(end, ReplyEnd::Right, "request {number}");
        }
        assert_eq!(operator.in_force().await, Some((base, 2)), "the last valid one");
        let next = with_queue(&entry, 43);
        let (_, wrong_version) = operator.get().await;
        let (status, answer) = operator.put(&next, wrong_version).await;
        assert!(status < 300, "{answer}");
        operator.until_in_force(operator.get().await.1, 2).await;
        fleet
    });
}

// Symptom: a gateway that comes back serves by an entry that was replaced long ago.
// Sequence: an entry is changed twice; the store goes down; a gateway is killed and started again,
// and can learn the catalogue from its peer alone; then the store is back.
// Cause: a copy of unknown age is taken for the newest.
#[test]
fn a_gateway_that_starts_in_an_outage_has_the_newest_entry() {
    with_fleet(settings(), |mut fleet| async move {
        let operator = Operator::new(&fleet, 0);
        let model = fleet.settings().profile.model;
        let mut version = 0;
        for queue in [51, 52] {
            let (entry, base) = operator.get().await;
            let (status, answer) = operator.put(&with_queue(&entry, queue), base).await;
            assert!(status < 300, "{answer}");
            version = answer["version"].as_u64().expect("a version");
        }
        operator.until_in_force(version, 2).await;
        fleet.platform.objects().faults().set(FaultSettings::down());
        fleet.kill_gateway(1).await;
        fleet.restart_gateway(1).await.expect("it starts");
        until("the gateway is ready", || {
            fleet.gateways[1].as_ref().is_some_and(|gateway| gateway.is_ready())
        })
        .await;
        let late = Operator::new(&fleet, 1);
        late.until_in_force(version, 2).await;
        let caller = FleetCaller::new(fleet.callers());
        let prompt = OnlinePrompt::numbered("outage", 1, 30, 12);
        find("the gateway that came back answers", || async {
            let end = caller.chat_once(1, &prompt, model, None).await;
            (end == ReplyEnd::Right).then_some(())
        })
        .await;
        fleet.platform.objects().faults().clear();
        assert_eq!(late.in_force().await, Some((version, 2)));
        fleet
    });
}
