//! The batch model against a naive one that keeps every request in one list.

use std::time::Duration;

use notch_standins::{
    EngineSettings,
    engine::batch::{BatchModel, StreamSpec},
};
use proptest::{prelude::*, test_runner::RngSeed};

/// A request of the naive model.
#[derive(Debug, Clone)]
struct NaiveStream {
    key: u64,
    spec: StreamSpec,
    running: bool,
    unread: u64,
    made: u32,
}

impl NaiveStream {
    fn room(&self) -> u64 {
        self.spec.prompt_tokens + u64::from(self.spec.max_tokens)
    }
}

/// One step as its figures: cost, admitted keys, made (key, index, last).
type StepFigures = (Duration, Vec<u64>, Vec<(u64, u32, bool)>);

fn naive_step(streams: &mut Vec<NaiveStream>, settings: &EngineSettings) -> StepFigures {
    let mut admitted = Vec::new();
    for at in 0..streams.len() {
        if streams[at].running {
            continue;
        }
        let running = streams.iter().filter(|stream| stream.running);
        let (count, room) = running.fold((0, 0), |(count, room), s| (count + 1, room + s.room()));
        if count == settings.slots || room + streams[at].room() > settings.kv_tokens {
            break;
        }
        streams[at].running = true;
        admitted.push(streams[at].key);
    }
    let mut chunk = settings.prefill_chunk;
    let mut made = Vec::new();
    let mut read = 0;
    let count = streams.iter().filter(|stream| stream.running).count() as u32;
    for stream in streams.iter_mut().filter(|stream| stream.running) {
        let part = stream.unread.min(chunk);
        stream.unread -= part;
        chunk -= part;
        read += part as u32;
        if stream.unread == 0 {
            made.push((stream.key, stream.made, stream.made + 1 == stream.spec.max_tokens));
            stream.made += 1;
        }
    }
    streams.retain(|stream| stream.made < stream.spec.max_tokens);
    let per_read = settings.per_prefill_token * read;
    let cost = settings.base_step + settings.per_stream * count + per_read;
    (if count == 0 { Duration::ZERO } else { cost }, admitted, made)
}

#[derive(Debug, Clone)]
enum Action {
    Enqueue { prompt_tokens: u64, resumed: u32, more: u32 },
    Cancel { key: u64 },
    Step,
}

fn any_action() -> impl Strategy<Value = Action> {
    prop_oneof![
        2 => (0_u64..60, 0_u32..5, 1_u32..12).prop_map(|(prompt_tokens, resumed, more)| {
            Action::Enqueue { prompt_tokens, resumed, more }
        }),
        1 => (1_u64..30).prop_map(|key| Action::Cancel { key }),
        4 => Just(Action::Step),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(23), cases: 400, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn steps_agree_with_the_naive_model(actions in prop::collection::vec(any_action(), 1..120)) {
        let settings = EngineSettings {
            slots: 3, kv_tokens: 150, prefill_chunk: 32, ..EngineSettings::default()
        };
        let mut batch = BatchModel::new(&settings);
        let mut naive: Vec<NaiveStream> = Vec::new();
        let mut next_key = 0;
        for action in actions {
            match action {
                Action::Enqueue { prompt_tokens, resumed, more } => {
                    next_key += 1;
                    let max_tokens = resumed + more;
                    let spec =
                        StreamSpec { prompt_tokens, resumed, max_tokens, ..StreamSpec::default() };
                    batch.enqueue(next_key, spec.clone());
                    let unread = prompt_tokens + u64::from(resumed);
                    let key = next_key;
                    naive.push(NaiveStream { key, spec, running: false, unread, made: resumed });
                }
                Action::Cancel { key } => {
                    let there = naive.iter().any(|stream| stream.key == key);
                    naive.retain(|stream| stream.key != key);
                    prop_assert_eq!(batch.cancel(key), there);
                }
                Action::Step => {
                    let outcome = batch.step();
                    let admitted = outcome.admitted.iter().map(|(key, _)| *key).collect();
                    let figures = (outcome.cost, admitted, outcome.made);
                    prop_assert_eq!(figures, naive_step(&mut naive, &settings));
                }
            }
            let room: u64 = naive.iter().filter(|s| s.running).map(NaiveStream::room).sum();
            prop_assert_eq!(batch.load().kv_used, room);
            prop_assert_eq!(batch.is_idle(), naive.is_empty());
        }
    }
}
