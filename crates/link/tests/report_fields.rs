//! Reports of gateways of other builds.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up is the failure of the test")]

use ciborium::Value;
use notch_link::codec;
use notch_messages::prelude::*;

fn report(shares: Vec<ShareUseReport>) -> PeerMessage {
    PeerMessage::Report {
        uses: Vec::new(),
        configuration: 7,
        targets: 0,
        digest: 0,
        is_watching: false,
        gateways: None,
        waiting: Vec::new(),
        paces: Vec::new(),
        shares,
    }
}

/// The fields of the report in an encoded message.
fn fields(message: &mut Value) -> &mut Vec<(Value, Value)> {
    let (_, report) = &mut message.as_map_mut().unwrap()[0];
    report.as_map_mut().unwrap()
}

// Guards against a link that ends because a gateway of the previous build sends no use by account, or
// because it receives a field that it doesn't know.
#[test]
fn fields_may_be_missing_or_unknown() {
    let (service, key) = ("s1".to_owned(), "one".to_owned());
    let share = ShareUseReport { service, key, online: 3, refused: 1 };
    let bytes = codec::encode(&report(vec![share])).unwrap();
    let mut message: Value = codec::decode(&bytes).unwrap();
    let is_shares = |(name, _): &(Value, Value)| name.as_text() == Some("shares");
    assert!(fields(&mut message).iter().any(is_shares));
    fields(&mut message).retain(|field| !is_shares(field));
    fields(&mut message).push((Value::from("later"), Value::from(1)));
    let bytes = codec::encode(&message).unwrap();
    let decoded: PeerMessage = codec::decode(&bytes).unwrap();
    assert_eq!(decoded, report(Vec::new()));
}
