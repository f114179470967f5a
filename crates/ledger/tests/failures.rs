//! Failures one by one.

mod support;

use support::{naive::Fate, world::World};

#[test]
fn a_single_owner_commits_and_another_replays() {
    let mut world = World::new(2, 1);
    world.run(500);
    assert_eq!(world.owner(), Some(0));
    for _ in 0..40 {
        world.append(0, 3, 40);
        world.run(30);
    }
    world.run(200);
    assert!(world.naive.appends.values().all(|append| matches!(append.fate, Fate::Committed(_))));
    world.crash(0);
    world.run(3_000);
    assert_eq!(world.owner(), Some(1));
    world.finish();
}
