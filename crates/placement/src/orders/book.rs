//! Orders without an answer, one a VM.

use std::collections::BTreeMap;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::orders::MoveReason;

/// How far an order is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderStage {
    /// Waits for the weight store; the permit is asked for at `ask_at`.
    WantsPermit { ask_at: MonoTime },
    /// Sent; sent again at `resend_at`.
    Sent { resend_at: MonoTime, tries: u32 },
}

/// An order without an answer.
#[derive(Debug, Clone)]
pub(crate) struct OpenOrder {
    pub(crate) order: TargetOrder,
    pub(crate) reason: MoveReason,
    /// The model concerned; for a role change the one that needs the role.
    pub(crate) model: TargetName,
    /// Whether the target holds the model while it is ordered, so that a copy goes down.
    pub(crate) takes_down: bool,
    pub(crate) stage: OrderStage,
}

impl OpenOrder {
    pub(crate) fn is_load(&self) -> bool {
        matches!(self.order.action, OrderAction::Load { .. })
    }

    /// Whether it may already be at the target.
    pub(crate) fn is_sent(&self) -> bool {
        matches!(self.stage, OrderStage::Sent { .. })
    }
}

/// Orders of one epoch, numbered from 1. At most one a VM is open, so that a target's state
/// after each order is known before the next one is chosen; the book is bounded by the fleet.
#[derive(Debug, Default)]
pub(crate) struct OrderBook {
    epoch: Epoch,
    numbered: u64,
    pub(crate) open: BTreeMap<VmName, OpenOrder>,
}

impl OrderBook {
    /// Begins an epoch: orders of an earlier one are no longer ours to answer for.
    pub(crate) fn begin(&mut self, epoch: Epoch) {
        *self = Self { epoch, ..Self::default() };
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Writes a new order down.
    pub(crate) fn open(
        &mut self,
        vm: &VmName,
        action: OrderAction,
        model: &TargetName,
        reason: MoveReason,
        takes_down: bool,
        stage: OrderStage,
    ) -> &OpenOrder {
        self.numbered += 1;
        let order = TargetOrder { order: self.numbered, epoch: self.epoch, vm: vm.clone(), action };
        let model = model.clone();
        let open = OpenOrder { order, reason, model, takes_down, stage };
        self.open.entry(vm.clone()).insert_entry(open).into_mut()
    }

    /// The open order of this number.
    pub(crate) fn find(&mut self, epoch: Epoch, number: u64) -> Option<&mut OpenOrder> {
        let current = epoch == self.epoch;
        self.open.values_mut().find(|open| current && open.order.order == number)
    }

    /// Closes the open order of this number at `vm`.
    pub(crate) fn close(&mut self, vm: &VmName, epoch: Epoch, number: u64) -> Option<OpenOrder> {
        let open = self.open.get(vm)?;
        let same = open.order.epoch == epoch && open.order.order == number;
        if same { self.open.remove(vm) } else { None }
    }
}
