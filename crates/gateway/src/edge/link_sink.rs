//! Where links' news go: answers' parts straight to their pages, the rest to the control thread.

use std::sync::Arc;

use notch_link::prelude::*;
use notch_messages::prelude::*;
use notch_routing::RouterEvent;

use crate::{
    control::{event::ControlEvent, inbox::ControlInbox},
    traffic::{
        answer_book::AnswerBook,
        answer_page::{AnswerNews, AnswerPage},
    },
};

/// Makes the sink for all links of a gateway.
///
/// Parts of answers don't pass the control thread: at hundreds of thousands of tokens a second
/// they would fill it, and a busy decision would hold every stream back.
pub fn link_sink(inbox: ControlInbox, answers: Arc<AnswerBook>) -> LinkSink {
    Arc::new(move |event| match event {
        LinkEvent::Message { peer, link, message: LinkMessage::ToGateway(message), bytes }
            if peer.role == NodeRole::Sidecar =>
        {
            if let Some(message) = take_answer(&inbox, &answers, &peer, message) {
                let message = LinkMessage::ToGateway(message);
                inbox.send(ControlEvent::Link(LinkEvent::Message { peer, link, message, bytes }));
            }
        }
        LinkEvent::Heartbeat { .. } => {}
        event => inbox.send(ControlEvent::Link(event)),
    })
}

/// Takes a message that belongs to an answer; gives back any other.
fn take_answer(
    inbox: &ControlInbox,
    answers: &AnswerBook,
    peer: &LinkPeer,
    message: GatewayMessage,
) -> Option<GatewayMessage> {
    match message {
        GatewayMessage::Started { attempt } => {
            inbox.send(ControlEvent::Attempt(RouterEvent::AttemptStarted { attempt }));
        }
        GatewayMessage::Chunk { attempt, offset, bytes } => {
            if let Some(page) = answers.page(attempt) {
                let news = page.chunk(offset, &bytes);
                tell(inbox, peer, &page, news);
            }
        }
        GatewayMessage::Ended { attempt, total, outcome } => match answers.page(attempt) {
            Some(page) => {
                let news = page.ended(total, outcome);
                tell(inbox, peer, &page, news);
            }
            // The router knows what to make of an attempt that was given up.
            None => inbox.send(ControlEvent::Attempt(RouterEvent::AttemptEnded {
                attempt,
                outcome,
                first_token: None,
            })),
        },
        other => return Some(other),
    }
    None
}

fn tell(inbox: &ControlInbox, peer: &LinkPeer, page: &Arc<AnswerPage>, news: AnswerNews) {
    let attempt = page.attempt();
    if let Some(first_token) = news.begun {
        let event = RouterEvent::AnswerBegun { attempt, first_token };
        inbox.send(ControlEvent::Attempt(event));
    }
    if let Some(outcome) = news.settled {
        let first_token = page.first_token();
        let event = RouterEvent::AttemptEnded { attempt, outcome, first_token };
        inbox.send(ControlEvent::Attempt(event));
    }
    if let Some(offset) = news.resume {
        inbox.send(ControlEvent::Resume { vm: peer.vm.clone(), attempt, offset });
    }
}
