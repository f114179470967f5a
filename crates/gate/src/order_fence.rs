//! Orders to the engine: fenced by epoch, one at a time, the same order answered alike.

use std::collections::{BTreeMap, VecDeque};

use notch_messages::prelude::*;
use notch_types::prelude::*;

/// What becomes of an order.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum FenceVerdict {
    /// Give it to the engine now.
    Run(TargetOrder),
    /// Its end is known without the engine.
    Answer(OrderOutcome),
    /// It waits or is at work; its end will be told.
    Pending,
}

/// Refuses orders of an old holder of the placement lease.
///
/// A holder that was paused past its lease would undo what its successor ordered; engines that
/// ignore fencing tokens don't notice, so the sidecar must. After the sidecar's own restart it
/// can't know the newest epoch: it takes nothing until told.
#[derive(Debug)]
pub(crate) struct OrderFence {
    vm: VmName,
    /// Newest epoch seen; `None` until a `PlacementEpoch` came.
    newest: Option<Epoch>,
    /// The order at the engine, and who asked.
    current: Option<(TargetOrder, Vec<VmName>)>,
    /// Orders behind it, each with who asked; at most `bound`.
    waiting: VecDeque<(TargetOrder, Vec<VmName>)>,
    /// Orders done; at most `bound`, the lowest (epoch, order) goes first.
    done: BTreeMap<(Epoch, u64), TargetOrder>,
    bound: usize,
    /// The newest epoch of which an order ended here, and the highest number of such.
    ended: Option<(Epoch, u64)>,
}

impl OrderFence {
    pub(crate) fn new(vm: VmName, bound: usize) -> Self {
        Self {
            vm,
            newest: None,
            current: None,
            waiting: VecDeque::new(),
            done: BTreeMap::new(),
            bound,
            ended: None,
        }
    }

    /// Newest epoch seen.
    pub(crate) fn newest(&self) -> Option<Epoch> {
        self.newest
    }

    /// Highest number of the newest epoch's orders that ended here; 0 when none has.
    pub(crate) fn ended_order(&self) -> u64 {
        self.ended.filter(|(epoch, _)| Some(*epoch) == self.newest).map_or(0, |(_, number)| number)
    }

    /// Whether an order is at the engine.
    pub(crate) fn is_busy(&self) -> bool {
        self.current.is_some()
    }

    pub(crate) fn learn(&mut self, epoch: Epoch) {
        self.newest = self.newest.max(Some(epoch));
    }

    pub(crate) fn take(&mut self, gateway: &VmName, order: TargetOrder) -> FenceVerdict {
        let Some(newest) = self.newest else {
            return FenceVerdict::Answer(OrderOutcome::EpochUnknown);
        };
        if order.vm != self.vm {
            return failed("the order names another VM");
        }
        if order.epoch < newest {
            return FenceVerdict::Answer(OrderOutcome::Stale { current: newest });
        }
        self.learn(order.epoch);
        if let Some(done) = self.done.get(&(order.epoch, order.order)) {
            return match *done == order {
                true => FenceVerdict::Answer(OrderOutcome::Done),
                false => failed("another order has this number"),
            };
        }
        if let Some((known, askers)) = self.find(order.epoch, order.order) {
            if *known != order {
                return failed("another order has this number");
            }
            if !askers.contains(gateway) {
                askers.push(gateway.clone());
            }
            return FenceVerdict::Pending;
        }
        if self.current.is_none() {
            self.current = Some((order.clone(), vec![gateway.clone()]));
            return FenceVerdict::Run(order);
        }
        if self.waiting.len() >= self.bound {
            return failed("too many orders wait");
        }
        self.waiting.push_back((order, vec![gateway.clone()]));
        FenceVerdict::Pending
    }

    /// The engine ended the order at work; tells who asked. `None` when it isn't the one at work.
    pub(crate) fn end(
        &mut self,
        epoch: Epoch,
        number: u64,
        outcome: &OrderOutcome,
    ) -> Option<Vec<VmName>> {
        let (order, askers) =
            self.current.take_if(|(order, _)| order.epoch == epoch && order.order == number)?;
        self.ended = self.ended.max(Some((epoch, number)));
        // Only a success is remembered: a failed order, or one whose end was lost, is done again
        // when the holder asks again.
        if *outcome == OrderOutcome::Done {
            self.done.insert((epoch, number), order);
        }
        if self.done.len() > self.bound {
            self.done.pop_first();
        }
        Some(askers)
    }

    /// The next order to give to the engine, after an end; stale ones are answered on the way.
    pub(crate) fn next(
        &mut self,
        stale: &mut Vec<(TargetOrder, Vec<VmName>, OrderOutcome)>,
    ) -> Option<TargetOrder> {
        if self.current.is_some() {
            return None;
        }
        while let Some((order, askers)) = self.waiting.pop_front() {
            match self.newest {
                Some(newest) if order.epoch < newest => {
                    stale.push((order, askers, OrderOutcome::Stale { current: newest }));
                }
                _ => {
                    self.current = Some((order.clone(), askers));
                    return Some(order);
                }
            }
        }
        None
    }

    fn find(&mut self, epoch: Epoch, number: u64) -> Option<&mut (TargetOrder, Vec<VmName>)> {
        let all = self.current.iter_mut().chain(self.waiting.iter_mut());
        all.into_iter().find(|(order, _)| order.epoch == epoch && order.order == number)
    }
}

fn failed(detail: &str) -> FenceVerdict {
    FenceVerdict::Answer(OrderOutcome::Failed { detail: detail.to_owned() })
}
