//! What may happen in the world.

use proptest::prelude::*;

use crate::world::{ROUTERS, VMS};

#[derive(Debug, Clone)]
pub(crate) enum Step {
    Plain { router: usize, stream: bool, deadline: u64 },
    Keyed { router: usize, key: u64, body: u64, stream: bool, deadline: u64 },
    Booking { router: usize, key: u64, body: u64, deadline: u64 },
    CallerGone { router: usize },
    Advance(u64),
    Crash { vm: usize },
    Restart { vm: usize },
    Silence { vm: usize, millis: u64 },
    Lose { vm: usize, router: usize },
    Gone { vm: usize, millis: u64 },
    Leaving { vm: usize },
    StoreDown(u64),
    Leave { router: usize },
}

pub(crate) fn steps() -> impl Strategy<Value = Vec<Step>> {
    let router = 0..ROUTERS;
    let vm = 0..VMS;
    let deadline = 20_u64..8_000;
    let step = prop_oneof![
        4 => (router.clone(), any::<bool>(), deadline.clone())
            .prop_map(|(router, stream, deadline)| Step::Plain { router, stream, deadline }),
        4 => (router.clone(), 100..104_u64, 0..8_u64, any::<bool>(), deadline.clone()).prop_map(
            |(router, key, body, stream, deadline)| Step::Keyed {
                router, key, body, stream, deadline
            }
        ),
        8 => (router.clone(), 0..4_u64, 0..8_u64, deadline).prop_map(
            |(router, key, body, deadline)| Step::Booking { router, key, body, deadline }
        ),
        2 => router.clone().prop_map(|router| Step::CallerGone { router }),
        12 => (0..400_u64).prop_map(Step::Advance),
        2 => (1_000..4_000_u64).prop_map(Step::Advance),
        1 => vm.clone().prop_map(|vm| Step::Crash { vm }),
        1 => vm.clone().prop_map(|vm| Step::Restart { vm }),
        2 => (vm.clone(), 10..6_000_u64).prop_map(|(vm, millis)| Step::Silence { vm, millis }),
        1 => (vm.clone(), router.clone()).prop_map(|(vm, router)| Step::Lose { vm, router }),
        1 => (vm.clone(), 10..6_000_u64).prop_map(|(vm, millis)| Step::Gone { vm, millis }),
        1 => vm.prop_map(|vm| Step::Leaving { vm }),
        1 => (10..4_000_u64).prop_map(Step::StoreDown),
        1 => router.prop_map(|router| Step::Leave { router }),
    ];
    prop::collection::vec(step, 10..120)
}
