//! A sidecar with a stand-in behind it and a make-believe gateway in front.
#![allow(dead_code, unreachable_pub)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use notch_link::prelude::{LinkDialer, LinkEvent, LinkHandle, LinkSecret, LinkSink};
use notch_messages::prelude::*;
use notch_settings::prelude::*;
use notch_sidecar::prelude::*;
use notch_types::{
    class::{TargetKind, WorkClass},
    prelude::*,
};

/// Longest wait for anything; no test measures time.
pub const PATIENCE: Duration = Duration::from_secs(30);
const SECRET: &str = "a secret of the tests";

pub fn vm() -> VmName {
    VmName::new("target-vm-1")
}

pub fn target() -> TargetName {
    TargetName::new("model")
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn settings(kind: TargetKind, address: SocketAddr) -> SidecarSettings {
    let config = SidecarConfig {
        node: NodeSettings { vm: vm(), ..NodeSettings::default() },
        listen: RelaySettings { links: any_port(), metrics: any_port() },
        links: LinkSettings {
            secret: Some(SECRET.to_owned()),
            secret_file: None,
            ..LinkSettings::default()
        },
        target: TargetSettings {
            name: target(),
            kind,
            address,
            poll: Duration::from_millis(50),
            ..TargetSettings::default()
        },
        ..SidecarConfig::default()
    };
    SidecarSettings { config, ..SidecarSettings::default() }
}

/// A gateway that does what the test says.
pub struct FakeGateway {
    pub vm: VmName,
    link: LinkHandle,
    messages: Receiver<GatewayMessage>,
    dialer: LinkDialer,
    /// Messages that came while dialling, in order.
    passed_over: Receiver<GatewayMessage>,
}

impl FakeGateway {
    /// Dials and waits for the welcome of a sidecar whose target is up.
    pub async fn dial(name: &str, sidecar: &SidecarHandle) -> (Self, SidecarWelcome) {
        let (events, incoming) = async_channel::unbounded();
        let settings = notch_link::prelude::LinkSettings {
            vm: VmName::new(name),
            role: NodeRole::Gateway,
            secret: LinkSecret::new(SECRET.as_bytes()),
            ..Default::default()
        };
        let address = sidecar.links_address().expect("it runs");
        let sink: LinkSink = Arc::new(move |event| {
            let _ = events.try_send(event);
        });
        let dialer = LinkDialer::start(address, sidecar.vm(), settings, sink);
        let (sender, messages) = async_channel::unbounded();
        let link = first_link(&incoming).await;
        async_std::task::spawn(pass_on(incoming, sender));
        // What comes while the target is not yet seen up is kept for the test.
        let (keeper, passed_over) = async_channel::unbounded();
        let mut kept = Vec::new();
        let gateway = Self { vm: VmName::new(name), link, messages, dialer, passed_over };
        let welcome = gateway
            .find(|message| match message {
                GatewayMessage::Welcome(welcome) => Some(welcome),
                _ => None,
            })
            .await;
        if !welcome.load.targets.iter().any(|load| load.up) {
            gateway
                .find(|message| match message {
                    GatewayMessage::Load(load) => load.targets.iter().any(|l| l.up).then_some(()),
                    other => {
                        kept.push(other);
                        None
                    }
                })
                .await;
        }
        for message in kept {
            keeper.try_send(message).expect("no bound");
        }
        (gateway, welcome)
    }

    pub fn say(&self, message: SidecarMessage) {
        self.link.send(LinkMessage::ToSidecar(message)).expect("the link stands");
    }

    /// The next message that `pick` takes; others are passed over.
    pub async fn find<T>(&self, mut pick: impl FnMut(GatewayMessage) -> Option<T>) -> T {
        let found = async {
            loop {
                let message = match self.passed_over.try_recv() {
                    Ok(message) => message,
                    Err(_) => self.messages.recv().await.expect("the link stands"),
                };
                if let Some(found) = pick(message) {
                    return found;
                }
            }
        };
        timeout(PATIENCE, found).await.expect("the message comes")
    }

    /// Gathers an attempt's answer until its end mark.
    pub async fn answer(&self, attempt: AttemptId) -> (Vec<u8>, AttemptOutcome) {
        let mut bytes = Vec::new();
        let outcome = self.answer_into(attempt, &mut bytes, usize::MAX).await;
        (bytes, outcome.expect("no bound was given"))
    }

    /// The same, but returns `None` once `enough` bytes are there.
    pub async fn answer_into(
        &self,
        attempt: AttemptId,
        bytes: &mut Vec<u8>,
        enough: usize,
    ) -> Option<AttemptOutcome> {
        self.find(|message| match message {
            GatewayMessage::Chunk { attempt: of, offset, bytes: part } if of == attempt => {
                assert!(offset as usize <= bytes.len(), "no gap within one link");
                let known = bytes.len() - offset as usize;
                bytes.extend_from_slice(&part[known.min(part.len())..]);
                (bytes.len() >= enough).then_some(None)
            }
            GatewayMessage::Ended { attempt: of, total, outcome } if of == attempt => {
                assert_eq!(total as usize, bytes.len(), "the end mark tells the total");
                Some(Some(outcome))
            }
            GatewayMessage::Refused(refusal) if refusal.attempt == attempt => {
                panic!("refused: {:?}", refusal.reason)
            }
            _ => None,
        })
        .await
    }

    /// Cuts the link without a word.
    pub async fn hang_up(self) {
        self.dialer.stop().await;
    }
}

async fn first_link(incoming: &Receiver<LinkEvent>) -> LinkHandle {
    let up = async {
        loop {
            if let LinkEvent::Up { link, .. } = incoming.recv().await.expect("the dialer runs") {
                return link;
            }
        }
    };
    timeout(PATIENCE, up).await.expect("the link comes up")
}

async fn pass_on(incoming: Receiver<LinkEvent>, sender: Sender<GatewayMessage>) {
    while let Ok(event) = incoming.recv().await {
        if let LinkEvent::Message { message: LinkMessage::ToGateway(message), .. } = event
            && sender.send(message).await.is_err()
        {
            return;
        }
    }
}

pub fn chat(prompt: &str, tokens: u32, stream: bool) -> Payload {
    let body = serde_json::json!({
        "model": target().as_str(),
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    });
    Payload(body.to_string().into_bytes())
}

pub fn offer(number: u64, sidecar: &SidecarHandle, body: Payload) -> AttemptOffer {
    let stream = body.windows(13).any(|part| part == b"\"stream\":true");
    AttemptOffer {
        attempt: AttemptId {
            request: RequestId(u128::from(number)),
            number,
            incarnation: sidecar.incarnation(),
        },
        target: target(),
        account: AccountName::new("account"),
        class: WorkClass::Online,
        path: String::new(),
        fingerprint: Fingerprint::of(&target(), &body),
        body,
        stream,
        deadline_ms: 60_000,
        idempotent: true,
        alone: false,
        progress: None,
    }
}

pub fn job(number: u128) -> JobId {
    JobId { shard: ShardId(1), digest: number }
}

pub fn lot(number: u64, job_number: u128, bodies: &[Payload]) -> LotGrant {
    let items = bodies.iter().enumerate().map(|(index, body)| LotItem {
        key: ItemKey { job: job(job_number), item: ItemIndex(index as u32) },
        attempt: 1,
        body: body.clone(),
        progress: None,
        fingerprint: Fingerprint::of(&target(), body),
    });
    LotGrant {
        lot: LotId(number),
        shard: ShardId(1),
        epoch: Epoch(1),
        target: target(),
        account: AccountName::new("account"),
        idempotent: true,
        lease_ms: 60_000,
        urgent: false,
        items: items.collect(),
    }
}

/// The text of a streamed answer.
pub fn streamed_text(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let data = text.lines().filter_map(|line| line.strip_prefix("data:")).map(str::trim);
    let events = data.filter(|data| *data != "[DONE]");
    let contents = events.filter_map(|data| {
        let event: serde_json::Value = serde_json::from_str(data).expect("JSON");
        event.pointer("/choices/0/delta/content").and_then(|text| text.as_str()).map(str::to_owned)
    });
    contents.collect()
}

/// The text of a whole answer.
pub fn whole_text(bytes: &[u8]) -> String {
    let answer: serde_json::Value = serde_json::from_slice(bytes).expect("JSON");
    let content = answer.pointer("/choices/0/message/content").and_then(|text| text.as_str());
    content.expect("content").to_owned()
}
