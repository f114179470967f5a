//! Where the answers of shards' owners go.

use notch_messages::prelude::*;
use notch_routing::RouterEvent;
use notch_types::prelude::*;

use crate::control::{
    shard_desk::{IDLE_RETRY_MS, ShardDesk},
    step::{ControlStep, ShardReply},
};

impl ShardDesk {
    /// Gives an answer to whoever waits for it.
    pub(super) fn reply(
        &mut self,
        now: Now,
        shard: ShardId,
        reply: ShardReply,
        answer: ShardAnswer,
        steps: &mut Vec<ControlStep>,
    ) {
        match reply {
            ShardReply::Traffic(sender) => {
                // A caller that hung up no longer listens.
                let _ = sender.try_send(answer);
            }
            ShardReply::Claim { request, attempt } => {
                let result = match answer {
                    ShardAnswer::Claim(verdict) => Ok(verdict),
                    ShardAnswer::Refused(refusal) => Err(refusal),
                    _ => Err(strange_answer()),
                };
                steps.push(ControlStep::Route(RouterEvent::ClaimAnswered {
                    request,
                    attempt,
                    result,
                }));
            }
            ShardReply::Fetch { request } => {
                let result = match answer {
                    ShardAnswer::Answer(stored) => Ok(stored),
                    ShardAnswer::Refused(refusal) => Err(refusal),
                    _ => Err(strange_answer()),
                };
                steps.push(ControlStep::Route(RouterEvent::AnswerFetched { request, result }));
            }
            ShardReply::Record { request } => {
                let ok = !matches!(answer, ShardAnswer::Refused(_));
                steps.push(ControlStep::Route(RouterEvent::AnswerRecorded { request, ok }));
            }
            ShardReply::Pull { vm, target } => {
                let message = self.pull_answer(now, shard, target, answer);
                steps.push(ControlStep::ToSidecar { to: vm, message });
            }
            ShardReply::Items { vm } => {
                if let ShardAnswer::ItemsSettled(items) = answer {
                    let message = SidecarMessage::ItemsSettled(items);
                    steps.push(ControlStep::ToSidecar { to: vm, message });
                }
            }
            ShardReply::Nobody => {}
        }
    }

    fn pull_answer(
        &mut self,
        now: Now,
        shard: ShardId,
        target: TargetName,
        answer: ShardAnswer,
    ) -> SidecarMessage {
        match answer {
            ShardAnswer::Lot(lot) => SidecarMessage::Lot(lot),
            ShardAnswer::NoWork { retry_after_ms } => {
                self.directory.empty_seen(now.mono, shard, &target);
                let another =
                    !self.directory.shards_with_work(now.mono, &target, self.turn).is_empty();
                let retry_after_ms = if another { 0 } else { retry_after_ms };
                SidecarMessage::NoWork { target, retry_after_ms }
            }
            _ => SidecarMessage::NoWork { target, retry_after_ms: IDLE_RETRY_MS },
        }
    }
}

fn strange_answer() -> Refusal {
    Refusal::unknown(RefusalReason::Internal, "the shard's owner gave another kind of answer")
}
