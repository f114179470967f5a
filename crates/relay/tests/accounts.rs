//! Client accounts: keys, configuration age and rate limits.

use std::{collections::VecDeque, time::Duration};

use notch_relay::{accounts::credits::CREDIT_LIFETIME, prelude::*};
use notch_types::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

const LIMIT: AccountLimit = AccountLimit { per_second: 40.0, burst: 40.0 };

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn account() -> AccountName {
    AccountName::new("a1")
}

fn vm(index: usize) -> VmName {
    VmName::new(&format!("g-{index:02}"))
}

fn table() -> RouteTable {
    let account = ClientAccount { name: account(), priority: 0, limit: None };
    let entry = AccountEntry { account, keys: vec![AccountKey::of("k1"), AccountKey::of("k2")] };
    let accounts = Some(vec![entry]);
    RouteTable::new(Configuration { version: 1, accounts, ..Configuration::default() })
}

#[rstest]
#[case::first_key(Some("k1"), false, "a1")]
#[case::second_key(Some("k2"), false, "a1")]
#[case::account_on_a_public_route(Some("k1"), true, "a1")]
fn a_key_identifies_its_account(
    #[case] key: Option<&str>,
    #[case] is_public: bool,
    #[case] account: &str,
) {
    let caller = table().identify(key.map(AccountKey::of), is_public);
    assert!(matches!(caller, CallerIdentity::Account(_)));
    assert_eq!(caller.account_name(), account);
}

#[rstest]
#[case::no_key(None, false, CallerIdentity::Unknown)]
#[case::unknown_key(Some("k3"), false, CallerIdentity::Unknown)]
#[case::no_key_needed(None, true, CallerIdentity::Anyone)]
#[case::unknown_key_not_needed(Some("k3"), true, CallerIdentity::Anyone)]
fn without_a_known_key_only_public_routes_are_accessible(
    #[case] key: Option<&str>,
    #[case] is_public: bool,
    #[case] caller: CallerIdentity,
) {
    assert_eq!(table().identify(key.map(AccountKey::of), is_public), caller);
}

#[test]
fn without_accounts_no_key_is_needed() {
    let table = RouteTable::new(Configuration::default());
    assert_eq!(table.identify(None, false), CallerIdentity::Anyone);
}

/// Guards against a partitioned gateway that accepts a key after it was revoked.
#[test]
fn an_outdated_configuration_admits_no_request() {
    let mut age = ConfigurationAge::new(Some(Duration::from_secs(5)));
    assert!(!age.is_fresh(at(0)), "no data yet");
    assert!(age.note_proof(ConfigurationProof { version: 3, as_of: at(1_000) }, 3));
    assert!(age.is_fresh(at(5_999)));
    assert!(!age.is_fresh(at(6_000)));
}

/// Guards against a newly started gateway that treats a proof from before its start as a later one.
#[test]
fn a_proof_older_than_the_process_is_rejected() {
    let age = Duration::from_millis(1_200);
    assert_eq!(ConfigurationProof::from_answer(3, age, at(200)), None);
    let proof = ConfigurationProof { version: 3, as_of: at(300) };
    assert_eq!(ConfigurationProof::from_answer(3, age, at(1_500)), Some(proof));
}

/// Guards against a proof of a newer configuration that makes the older one in force look fresh.
#[test]
fn a_proof_of_a_version_not_in_force_is_rejected() {
    let mut age = ConfigurationAge::new(Some(Duration::from_secs(5)));
    assert!(!age.note_proof(ConfigurationProof { version: 4, as_of: at(1_000) }, 3));
    assert!(!age.is_fresh(at(1_001)));
}

/// Guards against a delayed answer that replaces a newer proof.
#[test]
fn an_older_proof_does_not_replace_a_newer_one() {
    let mut age = ConfigurationAge::new(Some(Duration::from_secs(5)));
    age.note_proof(ConfigurationProof { version: 3, as_of: at(4_000) }, 3);
    age.note_proof(ConfigurationProof { version: 3, as_of: at(1_000) }, 3);
    assert!(age.is_fresh(at(8_000)));
}

#[test]
fn without_a_bound_any_configuration_is_fresh() {
    assert!(ConfigurationAge::new(None).is_fresh(at(1_000_000)));
}

/// Guards against a busy account that is admitted above its limit or rejected below it.
#[test]
fn a_bucket_admits_its_rate_and_burst() {
    let mut bucket = CreditBucket::new(LIMIT, 0.0, at(0));
    let burst = (0..100).filter(|_| bucket.take(LIMIT, 1, at(60_000)).is_ok()).count();
    assert_eq!(burst, 40);
    let second = (0..1_000).filter(|n| bucket.take(LIMIT, 1, at(60_000 + n)).is_ok()).count();
    assert!((39..=41).contains(&second), "{second}");
}

/// Guards against rejected clients that all retry for the same credit.
#[test]
fn each_rejected_client_gets_a_later_retry_time() {
    let mut bucket = CreditBucket::new(LIMIT, 0.0, at(0));
    let waits: Vec<Duration> = (0..20).filter_map(|_| bucket.take(LIMIT, 1, at(0)).err()).collect();
    assert_eq!(waits[0], Duration::from_millis(25));
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
}

/// Guards against a lowered limit that takes effect only after the former burst is used up, and
/// against a raised limit that rejects clients until the bucket has been refilled.
#[test]
fn a_changed_limit_takes_effect_immediately() {
    let raised = AccountLimit { per_second: 80.0, burst: 80.0 };
    let lowered = AccountLimit { per_second: 4.0, burst: 4.0 };
    let mut bucket = CreditBucket::new(LIMIT, 0.0, at(0));
    let admitted = (0..100).filter(|_| bucket.take(raised, 1, at(10_000)).is_ok()).count();
    assert_eq!(admitted, 80);
    let mut bucket = CreditBucket::new(LIMIT, 0.0, at(0));
    let admitted = (0..100).filter(|_| bucket.take(lowered, 1, at(10_000)).is_ok()).count();
    assert_eq!(admitted, 4);
}

/// Guards against credit that gateways hold ahead of need while an account is near its limit.
#[test]
fn credit_ahead_of_need_is_granted_from_a_full_bucket_only() {
    let mut bucket = CreditBucket::new(LIMIT, 0.0, at(0));
    assert_eq!(bucket.take(LIMIT, 10, at(10_000)), Ok(10));
    assert_eq!(bucket.take(LIMIT, 100, at(10_000)), Ok(10), "half of the burst is kept in reserve");
    assert_eq!(bucket.take(LIMIT, 10, at(10_000)), Ok(1));
}

#[rstest]
#[case::all_heard(PeerCounts { known: 23, heard: 23, ended: 0 }, true)]
#[case::single_gateway(PeerCounts { known: 0, heard: 0, ended: 0 }, true)]
#[case::isolated(PeerCounts { known: 23, heard: 0, ended: 0 }, false)]
#[case::isolated_by_resets(PeerCounts { known: 23, heard: 0, ended: 23 }, false)]
#[case::isolated_third_of_the_fleet(PeerCounts { known: 23, heard: 7, ended: 16 }, false)]
#[case::partitioned_into_halves(PeerCounts { known: 23, heard: 11, ended: 0 }, false)]
#[case::half_was_killed(PeerCounts { known: 23, heard: 10, ended: 13 }, true)]
fn a_gateway_without_quorum_runs_no_limiter(#[case] census: PeerCounts, #[case] has_quorum: bool) {
    assert_eq!(census.has_quorum(), has_quorum);
}

/// Guards against a new limiter that grants credit which the former one has already granted.
#[test]
fn a_new_limiter_starts_without_credit() {
    let mut limiter = LimiterTable::default();
    let census = PeerCounts { known: 0, heard: 0, ended: 0 };
    let view = LimiterView::new(census, vec![vm(1)]);
    limiter.set_view(&vm(1), view, at(10_000));
    assert!(matches!(limiter.grant(&account(), LIMIT, 1, at(10_000)), CreditAnswer::UsedUp(_)));
    assert_eq!(limiter.grant(&account(), LIMIT, 1, at(10_100)), CreditAnswer::Granted(1));
}

/// Guards against a small account that is rejected below its limit whenever its limiter dies.
#[test]
fn a_new_limiter_starts_within_the_tolerance() {
    let small = AccountLimit { per_second: 2.0, burst: 2.0 };
    let mut limiter = LimiterTable::new(TOLERANCE);
    let census = PeerCounts { known: 0, heard: 0, ended: 0 };
    limiter.set_view(&vm(1), LimiterView::new(census, vec![vm(1)]), at(10_000));
    let mut admitted = |limit| {
        let name = AccountName::new(&format!("{limit:?}"));
        let grants = (0..100).map(|_| limiter.grant(&name, limit, 1, at(10_000)));
        grants.filter(|answer| *answer == CreditAnswer::Granted(1)).count()
    };
    assert_eq!((admitted(small), admitted(LIMIT)), (2, 8));
}

/// Guards against an account that is rejected below its limit whenever a gateway stops or starts.
#[test]
fn a_limiter_hands_over_remaining_credit() {
    let census = PeerCounts { known: 1, heard: 1, ended: 0 };
    let alone = |index| LimiterView::new(census, vec![vm(index)]);
    let (mut former, mut next) = (LimiterTable::default(), LimiterTable::default());
    former.set_view(&vm(1), alone(1), at(0));
    assert_eq!(former.grant(&account(), LIMIT, 1, at(10_000)), CreditAnswer::Granted(1));
    next.set_view(&vm(2), alone(2), at(10_000));
    let handovers = former.set_view(&vm(1), alone(2), at(10_000));
    let expected = CreditHandover { limiter: vm(2), account: account(), credit: 39.0 };
    assert_eq!(handovers, [expected]);
    next.take_over(&vm(2), &account(), LIMIT, 39.0, at(10_000));
    let admitted = (0..100)
        .filter(|_| next.grant(&account(), LIMIT, 1, at(10_000)) == CreditAnswer::Granted(1))
        .count();
    assert_eq!(admitted, 39);
}

/// Guards against an account that exceeds its limit because its limiter moves away and back several times in a window, and
/// begins each time with credit that the tolerance allows once.
#[test]
fn a_limiter_that_returns_in_a_window_begins_without_credit() {
    let alone = |candidate| LimiterView::new(PeerCounts::default(), vec![vm(candidate)]);
    let mut table = LimiterTable::new(TOLERANCE);
    let mut begin = |now| {
        table.set_view(&vm(1), alone(2), at(now));
        table.set_view(&vm(1), alone(1), at(now));
        let granted =
            |_: &usize| table.grant(&account(), LIMIT, 1, at(now)) == CreditAnswer::Granted(1);
        (0..100).take_while(granted).count()
    };
    assert!(begin(10_000) > 0, "the tolerance covers one begin");
    assert_eq!(begin(12_000), 0);
    assert!(begin(15_000) > 0, "in the next window");
}

/// Guards against a round trip for each request of an account far below its limit, and against each
/// request of an account above its limit asking the limiter again.
#[test]
fn credit_is_requested_ahead_and_rejections_are_cached() {
    let mut credits = CreditCache::default();
    assert_eq!(credits.begin(&account(), at(0)), CreditStep::Ask { wanted: 1 });
    credits.note_granted(&account(), 3, at(0));
    assert_eq!(credits.begin(&account(), at(10)), CreditStep::Admitted);
    assert_eq!(credits.begin(&account(), at(20)), CreditStep::Admitted);
    assert_eq!(credits.begin(&account(), at(30)), CreditStep::Ask { wanted: 4 });
    let wait = Duration::from_millis(700);
    credits.note_used_up(&account(), wait, at(30));
    assert_eq!(credits.begin(&account(), at(40)), CreditStep::UsedUp { wait });
    assert!(matches!(credits.begin(&account(), at(100)), CreditStep::Ask { .. }));
}

/// Guards against credit that is used in a later window.
#[test]
fn unused_credit_expires() {
    let mut credits = CreditCache::default();
    credits.begin(&account(), at(0));
    credits.note_granted(&account(), 3, at(0));
    let late = at(0) + CREDIT_LIFETIME;
    assert!(matches!(credits.begin(&account(), late), CreditStep::Ask { .. }));
}

const GATEWAYS: usize = 12;
const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: Duration::from_secs(5), overrun: 0.1, slack: 20.0 };

/// Event in the fleet.
#[derive(Debug, Clone)]
enum FleetEvent {
    /// A request arrives at a gateway; its request to the limiter or the answer may be lost.
    Request { gateway: usize, is_lost: bool },
    /// A gateway is killed and restarts without its state.
    Restart { gateway: usize },
    /// Gateways are partitioned from all others without connection resets.
    Partition { gateways: Vec<usize> },
    /// All partitions heal.
    Heal,
}

fn fleet_event() -> impl Strategy<Value = FleetEvent> {
    let request = (0..GATEWAYS, proptest::bool::weighted(0.05))
        .prop_map(|(gateway, is_lost)| FleetEvent::Request { gateway, is_lost });
    let restart = (0..GATEWAYS).prop_map(|gateway| FleetEvent::Restart { gateway });
    let partition = proptest::collection::vec(0..GATEWAYS, 1..=4)
        .prop_map(|gateways| FleetEvent::Partition { gateways });
    prop_oneof![400 => request, 1 => restart, 1 => partition, 1 => Just(FleetEvent::Heal)]
}

/// One gateway of the fleet.
#[derive(Debug)]
struct FleetGateway {
    credits: CreditCache,
    limiter: LimiterTable,
    is_partitioned: bool,
}

impl Default for FleetGateway {
    fn default() -> Self {
        let (credits, limiter) = (CreditCache::default(), LimiterTable::new(TOLERANCE));
        Self { credits, limiter, is_partitioned: false }
    }
}

/// A fleet in which one account sends as fast as it can.
struct Fleet {
    gateways: Vec<FleetGateway>,
    admitted: VecDeque<MonoTime>,
}

impl Fleet {
    fn new() -> Self {
        let gateways = (0..GATEWAYS).map(|_| FleetGateway::default()).collect();
        Self { gateways, admitted: VecDeque::new() }
    }

    fn hears(&self, own: usize, other: usize) -> bool {
        !self.gateways[own].is_partitioned && !self.gateways[other].is_partitioned
    }

    /// Refreshes a gateway's view. Credit that is handed over is lost if the new limiter cannot be
    /// reached.
    fn refresh_view(&mut self, own: usize, now: MonoTime) {
        let heard: Vec<usize> =
            (0..GATEWAYS).filter(|other| *other != own && self.hears(own, *other)).collect();
        let census = PeerCounts { known: GATEWAYS - 1, heard: heard.len(), ended: 0 };
        let candidates = heard.into_iter().chain([own]).map(vm).collect();
        let view = LimiterView::new(census, candidates);
        let handovers = self.gateways[own].limiter.set_view(&vm(own), view, now);
        for CreditHandover { limiter, account, credit } in handovers {
            let next = (0..GATEWAYS)
                .find(|index| vm(*index) == limiter)
                .expect("the limiter belongs to the fleet");
            if self.hears(own, next) {
                self.refresh_view(next, now);
                self.gateways[next].limiter.take_over(&limiter, &account, LIMIT, credit, now);
            }
        }
    }

    fn apply(&mut self, event: &FleetEvent, now: MonoTime) {
        match event {
            FleetEvent::Request { gateway, is_lost } => self.request(*gateway, *is_lost, now),
            FleetEvent::Restart { gateway } => {
                self.gateways[*gateway] = FleetGateway::default();
            }
            FleetEvent::Partition { gateways } => {
                for gateway in gateways {
                    self.gateways[*gateway].is_partitioned = true;
                }
            }
            FleetEvent::Heal => {
                self.gateways.iter_mut().for_each(|gateway| gateway.is_partitioned = false);
            }
        }
    }

    fn request(&mut self, own: usize, is_lost: bool, now: MonoTime) {
        self.refresh_view(own, now);
        let step = self.gateways[own].credits.begin(&account(), now);
        let is_admitted = match step {
            CreditStep::Admitted => true,
            CreditStep::UsedUp { .. } => false,
            CreditStep::NoLimiter => self.admit_without_limiter(own, now),
            CreditStep::Ask { wanted } => self.ask(own, wanted, is_lost, now),
        };
        if is_admitted {
            self.admitted.push_back(now);
        }
    }

    fn ask(&mut self, own: usize, wanted: u32, is_lost: bool, now: MonoTime) -> bool {
        let Some(limiter) = self.gateways[own].limiter.limiter(&account()) else {
            return self.admit_without_limiter(own, now);
        };
        let limiter = (0..GATEWAYS)
            .find(|index| vm(*index) == limiter)
            .expect("the limiter belongs to the fleet");
        if limiter != own && !self.hears(own, limiter) {
            self.gateways[own].credits.note_silent(&account(), now);
            return self.admit_without_limiter(own, now);
        }
        self.refresh_view(limiter, now);
        if self.gateways[limiter].limiter.limiter(&account()) != Some(vm(limiter)) {
            return self.admit_without_limiter(own, now);
        }
        let answer = self.gateways[limiter].limiter.grant(&account(), LIMIT, wanted, now);
        if is_lost {
            self.gateways[own].credits.note_silent(&account(), now);
            return self.admit_without_limiter(own, now);
        }
        match answer {
            CreditAnswer::Granted(granted) => {
                self.gateways[own].credits.note_granted(&account(), granted, now);
                true
            }
            CreditAnswer::UsedUp(wait) => {
                self.gateways[own].credits.note_used_up(&account(), wait, now);
                false
            }
            CreditAnswer::Elsewhere(_) => self.admit_without_limiter(own, now),
        }
    }

    fn admit_without_limiter(&mut self, own: usize, now: MonoTime) -> bool {
        let credits = &mut self.gateways[own].credits;
        credits.admit_without_limiter(&account(), LIMIT, TOLERANCE, GATEWAYS, now)
    }
}

/// Maximum number of requests admitted in a window.
fn max_admitted() -> usize {
    let allowed = LIMIT.per_second * TOLERANCE.window.as_secs_f64() + LIMIT.burst;
    (allowed * (1.0 + TOLERANCE.overrun) + TOLERANCE.slack) as usize
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Guards against an account that is admitted above its limit in any window, for any order of
    /// requests, lost answers, kills and partitions.
    #[test]
    fn no_window_exceeds_a_limit(
        events in proptest::collection::vec((1_u64..8, fleet_event()), 2_000..4_000),
    ) {
        let mut fleet = Fleet::new();
        let mut now = 1_000;
        for (pause, event) in &events {
            now += pause;
            fleet.apply(event, at(now));
            let begin = at(now.saturating_sub(5_000));
            while fleet.admitted.front().is_some_and(|first| *first <= begin) {
                fleet.admitted.pop_front();
            }
            prop_assert!(fleet.admitted.len() <= max_admitted(), "{} at {now}", fleet.admitted.len());
        }
    }
}
