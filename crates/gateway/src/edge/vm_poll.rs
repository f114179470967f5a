//! Reads the platform's VM list now and then.

use std::sync::Arc;

use async_std::task;
use notch_platform::VmListing;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    control::{event::ControlEvent, inbox::ControlInbox},
    edge::list_pace::ListPace,
};

/// Starts reading the list at `pace`, a little spread so that gateways don't read in step.
pub fn start(
    vms: Arc<dyn VmListing>,
    pace: Arc<ListPace>,
    metrics: Arc<Metrics>,
    inbox: ControlInbox,
) -> task::JoinHandle<()> {
    task::spawn(async move {
        loop {
            match vms.list().await {
                Ok(list) => inbox.send(ControlEvent::VmListed(list)),
                Err(_) => metrics.count(Counter::Event("vm_list_failures")),
            }
            task::sleep(pace.pause().mul_f64(0.9 + 0.2 * rand::random::<f64>())).await;
        }
    })
}
