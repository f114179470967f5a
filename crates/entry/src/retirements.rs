//! Answers requests to empty a VM with a disk. Nothing of ours lies on any disk, so the gateways that follow the
//! store answer at once.

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
        retry::jittered,
    },
};

/// How much longer each gateway waits than the one before it in rank: an answer by that one is heard meanwhile.
const ANSWER_STEP: Duration = Duration::from_millis(600);

/// VMs whose request is answered already.
type AnsweredVms = Arc<Mutex<FastSet<String>>>;

/// Answers requests to empty a VM, until the process ends.
pub async fn answer_retirements(node: Arc<EntryNode>) {
    let answered = AnsweredVms::default();
    let plan =
        FeedPlan { watcher: Some(&node), start: FeedStart::WhenRequired, ..FeedPlan::default() };
    follow(&node.store, RETIREMENT_KIND, plan, |event| match event {
        FeedEvent::Snapshot { objects, .. } => {
            objects.iter().for_each(|object| take_request(&node, &answered, object));
        }
        FeedEvent::Changed { object } => take_request(&node, &answered, object),
        FeedEvent::Deleted { object, .. } => {
            held(&answered).remove(&object.metadata.name);
        }
    })
    .await;
}

fn take_request(node: &Arc<EntryNode>, answered: &AnsweredVms, object: &StoreObject) {
    let vm = object.metadata.name.clone();
    if RetirementStatus::is_completed(object) {
        held(answered).insert(vm);
        return;
    }
    held(answered).remove(&vm);
    task::spawn(answer_one(Arc::clone(node), Arc::clone(answered), vm));
}

async fn answer_one(node: Arc<EntryNode>, answered: AnsweredVms, vm: String) {
    task::sleep(ANSWER_STEP * rank(&node, &vm)).await;
    let body = status_body(&vm, None, &RetirementStatus::completed());
    let path = status_path(RETIREMENT_KIND, &vm);
    while !held(&answered).contains(&vm) {
        let wait = node.store.settings().call_timeout;
        let cause = StoreCallCause::Retirement;
        if node.store.call(cause, "PUT", &path, Some(&body), wait).await.is_ok() {
            node.log.info("vm_emptied", &[("vm_named", &vm)]);
            return;
        }
        task::sleep(jittered(STORE_PAUSE)).await;
    }
}

/// This gateway's place in the order in which those that follow the store answer for `vm`.
fn rank(node: &EntryNode, vm: &str) -> u32 {
    let weight = |gateway: &VmName| stable_hash64(&[vm.as_bytes(), gateway.as_str().as_bytes()]);
    let own = weight(&node.config.node.vm);
    let followers = node.peers.follower_vms();
    followers.iter().filter(|other| weight(other) > own).count() as u32
}

fn held(answered: &AnsweredVms) -> std::sync::MutexGuard<'_, FastSet<String>> {
    answered.lock().unwrap_or_else(PoisonError::into_inner)
}
