//! Answers requests to empty a VM with a disk. Gateways store nothing on disks, so those that
//! follow the store answer immediately.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_std::task;
use notch_platform_wire::{
    prelude::StoreObject,
    store::{RETIREMENT_KIND, RetirementStatus, status_body, status_path},
};
use notch_types::prelude::*;

use crate::{
    constants::STORE_PAUSE,
    node::EntryNode,
    store::{
        call_cause::StoreCallCause,
        feed::{FeedPlan, FeedStart, follow},
        feed_event::FeedEvent,
        reply::StoreFailure,
        retry::jittered,
    },
};

/// Delay between the answers of consecutive ranks, so that a gateway sees the answer of the one
/// before it.
const ANSWER_DELAY_PER_RANK: Duration = Duration::from_millis(600);

/// VMs whose request has been answered.
type AnsweredVms = Arc<Mutex<FastSet<String>>>;

/// Answers requests to empty a VM, until the process ends.
pub async fn answer_retirements(node: Arc<EntryNode>) {
    let answered = AnsweredVms::default();
    let plan =
        FeedPlan { watcher: Some(&node), start: FeedStart::WhenRequired, ..FeedPlan::default() };
    follow(&node.store, RETIREMENT_KIND, plan, |event| match event {
        FeedEvent::Snapshot { objects, .. } => {
            objects.iter().for_each(|object| handle_request(&node, &answered, object));
        }
        FeedEvent::Changed { object } => handle_request(&node, &answered, object),
        FeedEvent::Deleted { object, .. } => {
            lock(&answered).remove(&object.metadata.name);
        }
        FeedEvent::Complete { .. } => {}
    })
    .await;
}

fn handle_request(node: &Arc<EntryNode>, answered: &AnsweredVms, object: &StoreObject) {
    let vm = object.metadata.name.clone();
    if RetirementStatus::is_completed(object) {
        lock(answered).insert(vm);
        return;
    }
    lock(answered).remove(&vm);
    task::spawn(answer_request(Arc::clone(node), Arc::clone(answered), vm));
}

async fn answer_request(node: Arc<EntryNode>, answered: AnsweredVms, vm: String) {
    task::sleep(ANSWER_DELAY_PER_RANK * rank(&node, &vm)).await;
    let body = status_body(&vm, None, &RetirementStatus::completed());
    let path = status_path(RETIREMENT_KIND, &vm);
    while !lock(&answered).contains(&vm) {
        let wait = node.store.settings().call_timeout;
        let cause = StoreCallCause::Retirement;
        match node.store.call(cause, "PUT", &path, Some(&body), wait).await {
            Ok(_) => {
                node.log.info("vm_emptied", &[("vm_named", &vm)]);
                return;
            }
            Err(StoreFailure::Refused) => return,
            Err(StoreFailure::NotDone | StoreFailure::Unknown) => {
                task::sleep(jittered(STORE_PAUSE)).await;
            }
        }
    }
}

/// This gateway's rank among those that follow the store, in the order in which they answer for
/// `vm`.
fn rank(node: &EntryNode, vm: &str) -> u32 {
    let weight = |gateway: &VmName| stable_hash64(&[vm.as_bytes(), gateway.as_str().as_bytes()]);
    let own = weight(&node.config.node.vm);
    let followers = node.peers.follower_vms();
    followers.iter().filter(|other| weight(other) > own).count() as u32
}

fn lock(answered: &AnsweredVms) -> std::sync::MutexGuard<'_, FastSet<String>> {
    answered.lock().unwrap_or_else(PoisonError::into_inner)
}
