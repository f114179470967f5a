//! What a gateway answers about another one that a third wants to evict.

use std::{net::SocketAddr, time::Duration};

use notch_entry::peers::{registration::GatewayEntry, table::PeerTable};
use notch_link::prelude::LinkDialer;
use notch_relay::{jobs::eviction::EVICTION_SILENCE, prelude::AbsenceVote};
use notch_types::prelude::*;

/// Puts the entry of `g-1` without a dialer.
fn put_entry(peers: &PeerTable, now: MonoTime) {
    let address = SocketAddr::from(([10, 1, 0, 9], 7720));
    let entry = GatewayEntry { address, owner: "g-1#1".to_owned(), domain: "z".to_owned() };
    peers.put_entry(&VmName::new("g-1"), entry, now, None::<fn(SocketAddr) -> LinkDialer>);
}

/// Guards against an agreement by a gateway that had a link a moment ago: it dropped the record as the other was evicted,
/// and does not know yet that it has registered again.
#[test]
fn a_gateway_without_a_record_cannot_tell() {
    let (peers, vm) = (PeerTable::default(), VmName::new("g-1"));
    let start = MonoTime::default() + Duration::from_secs(60);
    assert_eq!(peers.absence(&vm, start).vote("g-1#1"), AbsenceVote::NeverLinked);
    put_entry(&peers, start);
    let early = peers.absence(&vm, start + EVICTION_SILENCE / 2);
    assert_eq!(early.vote("g-1#1"), AbsenceVote::NeverLinked);
    let late = peers.absence(&vm, start + EVICTION_SILENCE);
    assert_eq!(late.vote("g-1#1"), AbsenceVote::Gone);
    peers.remove_entry(&vm);
    let dropped = peers.absence(&vm, start + EVICTION_SILENCE * 2);
    assert_eq!(dropped.vote("g-1#1"), AbsenceVote::NeverLinked);
}
