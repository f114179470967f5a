//! What gateway and sidecar add to a request: time, and processor time.
//!
//! The same engine is asked by turns directly and through gateway and sidecar. Everything else
//! is equal on both ways, the caller and the engine stand-in included, so that the difference is
//! what the system costs.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::task;
use futures_util::future::join_all;
use notch_http::prelude::HttpClient;
use notch_standins::EngineSettings;
use serde_json::{Value, json};

use crate::{
    fleet::{FleetError, FleetProfile, FleetSettings, LocalFleet, local_fleet::ACCOUNT_KEY},
    load::{LatencyReport, LoadClient, OnlinePrompt, OnlineReply, ReplyEnd},
    measure::{capacity::ask_engine, process_time::process_time},
};

/// Pairs of requests asked one after the other.
const PAIRS: u64 = 600;
/// Pairs before them that aren't counted.
const WARM_PAIRS: u64 = 100;
/// Requests in a block for processor time.
const BLOCK: u64 = 300;
/// Blocks on each way.
const BLOCKS: u64 = 2;
/// Requests of a block on their way at once.
const AT_ONCE: u64 = 10;
/// Tokens of an answer in pairs: the first token is what counts.
const SHORT_ANSWER: u32 = 2;
/// Time over which the fleet without requests is watched.
const IDLE_FOR: Duration = Duration::from_secs(2);
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(15);

/// What was measured.
#[derive(Debug, Clone)]
pub struct HopCost {
    /// To first token, caller to engine.
    pub direct: LatencyReport,
    /// To first token, through gateway and sidecar.
    pub through: LatencyReport,
    /// Processor time of a request asked directly: caller and stand-in.
    pub direct_processor: Duration,
    /// Processor time of a request asked through gateway and sidecar.
    pub through_processor: Duration,
    /// Processor time of the whole fleet without any request, in a second.
    pub idle_processor: Duration,
    /// Tokens of an answer, where processor time was measured.
    pub answer_tokens: u32,
    /// Answers that weren't right; must be 0.
    pub wrong: u64,
}

impl HopCost {
    /// Added at this percentile, milliseconds.
    pub fn added(&self, share: f64) -> f64 {
        self.through.at(share) - self.direct.at(share)
    }

    /// Processor time that gateway and sidecar take for a request, microseconds.
    pub fn processor_us(&self) -> f64 {
        (self.through_processor.as_secs_f64() - self.direct_processor.as_secs_f64()) * 1e6
    }

    /// One JSON object.
    pub fn to_json(&self) -> Value {
        json!({
            "direct_first_token": self.direct.to_json(),
            "through_first_token": self.through.to_json(),
            "added_p50_ms": self.added(0.50),
            "added_p99_ms": self.added(0.99),
            "processor_us_per_request": self.processor_us(),
            "processor_answer_tokens": self.answer_tokens,
            "idle_processor_ms_per_s": self.idle_processor.as_secs_f64() * 1e3,
            "wrong": self.wrong,
        })
    }
}

/// Measures on a fleet of one gateway, one sidecar and one engine.
///
/// # Errors
/// When the fleet does not stand.
pub async fn measure_hop(profile: &FleetProfile) -> Result<HopCost, FleetError> {
    let settings = FleetSettings {
        profile: profile.clone(),
        gateways: 1,
        sidecars: 1,
        engine: EngineSettings { base_step: Duration::from_millis(2), ..EngineSettings::default() },
        ..FleetSettings::default()
    };
    let fleet = LocalFleet::start(settings).await?;
    let ways = TwoWays {
        http: HttpClient::default(),
        gateway: fleet.callers()[0],
        engine: fleet.engines[0].address(),
        profile: profile.clone(),
    };
    let cost = ways.measure().await;
    fleet.stop().await;
    Ok(cost)
}

/// Which way a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Direct,
    Through,
}

struct TwoWays {
    http: HttpClient,
    gateway: SocketAddr,
    engine: SocketAddr,
    profile: FleetProfile,
}

impl TwoWays {
    async fn measure(&self) -> HopCost {
        let mut cost = HopCost {
            direct: LatencyReport::default(),
            through: LatencyReport::default(),
            direct_processor: Duration::ZERO,
            through_processor: Duration::ZERO,
            idle_processor: Duration::ZERO,
            answer_tokens: self.profile.online_answer,
            wrong: 0,
        };
        for pair in 0..WARM_PAIRS + PAIRS {
            let direct = self.ask(Way::Direct, pair, SHORT_ANSWER).await;
            let through = self.ask(Way::Through, pair, SHORT_ANSWER).await;
            if pair >= WARM_PAIRS {
                take(&mut cost.direct, &mut cost.wrong, &direct);
                take(&mut cost.through, &mut cost.wrong, &through);
            }
        }
        cost.idle_processor = self.idle().await;
        for block in 0..BLOCKS {
            let from = WARM_PAIRS + PAIRS + block * BLOCK;
            cost.direct_processor += self.block(Way::Direct, from, cost.idle_processor).await;
            cost.through_processor += self.block(Way::Through, from, cost.idle_processor).await;
        }
        let requests = (BLOCK * BLOCKS) as u32;
        cost.direct_processor /= requests;
        cost.through_processor /= requests;
        cost
    }

    async fn ask(&self, way: Way, number: u64, answer_tokens: u32) -> OnlineReply {
        let words = self.profile.online_prompt;
        let prompt = OnlinePrompt::numbered("slot reply", number, words, answer_tokens);
        match way {
            Way::Direct => {
                let stream = format!("direct-{number}");
                ask_engine(&self.http, self.engine, self.profile.model, &prompt, &stream).await
            }
            Way::Through => {
                let client = LoadClient::new(&self.http, self.gateway, ACCOUNT_KEY);
                client.chat(&prompt, self.profile.model, None, DEADLINE).await
            }
        }
    }

    async fn idle(&self) -> Duration {
        let before = process_time();
        task::sleep(IDLE_FOR).await;
        (process_time() - before).div_f64(IDLE_FOR.as_secs_f64())
    }

    /// Processor time of a block's requests, less what the fleet takes anyway.
    async fn block(&self, way: Way, from: u64, idle_per_s: Duration) -> Duration {
        let before = process_time();
        let started = Instant::now();
        let lane = |lane: u64| async move {
            for number in (from + lane..from + BLOCK).step_by(AT_ONCE as usize) {
                self.ask(way, number, self.profile.online_answer).await;
            }
        };
        join_all((0..AT_ONCE).map(lane)).await;
        let idle = idle_per_s.mul_f64(started.elapsed().as_secs_f64());
        (process_time() - before).saturating_sub(idle)
    }
}

fn take(report: &mut LatencyReport, wrong: &mut u64, reply: &OnlineReply) {
    if reply.end != ReplyEnd::Right {
        *wrong += 1;
    }
    if let Some(first) = reply.first_token {
        report.record(first);
    }
}
