//! Every time limit and bound of an entry VM, with its unit and where its figure comes from.

use std::time::Duration;

/// Longest wait for a connection to a target. A handshake takes 2 to 5 ms between failure domains;
/// a VM without power never answers, and an opening packet that was dropped is sent again after a
/// second, when the answer would be late anyway.
pub const TARGET_CONNECT: Duration = Duration::from_millis(120);
/// Share of a route's objective that an answer may take to begin where a place was free. Usually
/// it takes a tenth; half of it leaves time for another target to answer within the objective.
pub const FIRST_BYTE_FREE_FACTOR: f64 = 0.55;
/// The same where the request may wait for a place: a usual stream lasts two objectives.
pub const FIRST_BYTE_QUEUED_FACTOR: f64 = 5.0;
/// How often it's looked whether a liveness probe is due.
pub const LIVENESS_TICK: Duration = Duration::from_millis(100);
/// Longest wait for the answer to a liveness probe: a report takes a few milliseconds.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(150);
/// Share of a route's longest pause between events after which a silent stream is taken up at
/// another target, so that the pause still is in time. Events come every 30 ms.
pub const STALL_FACTOR: f64 = 0.7;
/// Longest silence of an item's run before it goes on elsewhere: thirty events' time.
pub const ITEM_STALL: Duration = Duration::from_millis(1_000);
/// Longest wait for the head of an item's answer: places are free when it starts.
pub const ITEM_FIRST_BYTE: Duration = Duration::from_millis(1_500);
/// Sends that provably did not run, beyond the route's attempts, before a request is refused.
pub const MAX_NOT_RUN_RETRIES: u32 = 4;
/// Pause before a broken stream looks for a target again when none had a place.
pub const NO_PLACE_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// How long a broken stream looks for a place.
pub const NO_PLACE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// When a client that was refused should come back: half of the time in which a usual stream ends,
/// so that a place is likely free by then.
pub const RETRY_AFTER: Duration = Duration::from_millis(300);
/// A client with less time than this many objectives of its route isn't told to come back: it would
/// have waited for most of its time already.
pub const MIN_RETRY_OBJECTIVES: u32 = 6;
/// How long a request waits for the first configuration and list of targets: under half of the
/// usual objective of 300 ms, ten times what a start takes while the store answers.
pub const STARTUP_STATE_WAIT: Duration = Duration::from_millis(140);
/// How often it looks for them.
pub const STARTUP_STATE_POLL: Duration = Duration::from_millis(5);
/// When a client should come back to a VM that doesn't know its configuration yet.
pub const RETRY_AFTER_START: Duration = Duration::from_millis(300);
/// An idle connection to a target is dropped this long before the target would close it.
pub const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// How long a connection to a target is kept idle when the target doesn't say.
pub const IDLE_DEFAULT: Duration = Duration::from_millis(2_500);
/// A request that can't be repeated takes only connections that were used this recently: an older
/// one may have been dropped unseen, and then nobody knows whether the request ran.
pub const NON_REPEATABLE_MAX_IDLE: Duration = Duration::from_millis(1_000);
/// Idle connections to one target, at most; a target takes 200 from all gateways together.
pub const IDLE_PER_TARGET: usize = 16;
/// Bytes of a target's answer head, at most.
pub const ANSWER_HEAD_BYTES: usize = 32 << 10;
/// Bytes of a plain answer, at most; a VM has 110 MB.
pub const ANSWER_BODY_BYTES: usize = 16 << 20;
/// Longest time for a request's body, from its head on.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of requests that a client sends ahead of an answer, at most, before we stop reading.
pub const READ_AHEAD_BYTES: usize = 64 << 10;

/// How often use of targets is told to the other gateways when it changes. The home of a target hears of
/// each use at once; the others only choose by it whom to ask.
pub const REPORT_EVERY: Duration = Duration::from_millis(100);
/// How often it is told when nothing changes.
pub const REPORT_IDLE: Duration = Duration::from_millis(1_000);
/// Least time between two words of the work that waits here: in a burst of ninety times the usual jobs, a
/// hundredth of what can be done in time comes meanwhile, at all gateways.
pub const DEMAND_PAUSE: Duration = Duration::from_millis(10);
/// How often it is looked what work waits here and what places it finds, beside after each job.
pub const DEMAND_EVERY: Duration = Duration::from_millis(100);
/// A gateway that started so recently may not have heard yet what work waits at the others: links form meanwhile.
pub const DEMAND_SYNC_TIME: Duration = Duration::from_millis(2_000);
/// How often it is told when little changes.
pub const DEMAND_IDLE: Duration = Duration::from_millis(1_000);
/// A gateway whose link is down this long is taken for dead and its jobs are taken over.
pub const PEER_DEAD_AFTER: Duration = Duration::from_millis(1_000);
/// Who read the gateways' entries this recently knows every gateway that may take jobs over: a watch of
/// them that tells nothing ends after 2.5 s, and the next one begins 1.5 s later.
pub const ENTRIES_FRESH: Duration = Duration::from_millis(5_000);
/// A gateway that was never linked to is taken for dead after this long. Invariant: above
/// [`ENTRIES_FRESH`] by more than a handshake: it knows us by then, or knows that it may not.
pub const FIRST_LINK_TIMEOUT: Duration = Duration::from_millis(6_500);
/// A gateway that hasn't heard a peer for this long asks the store before it says that a job has no more
/// results. Invariants: shorter than [`PEER_DEAD_AFTER`] by more than a message's way takes, and at least twice
/// the links' heartbeat.
pub const PEER_SILENT_AFTER: Duration = Duration::from_millis(600);
/// How often the other gateways are looked at.
pub const PEER_TICK: Duration = Duration::from_millis(250);
/// From a gateway's start to its first search for jobs that nobody owns: links form meanwhile.
pub const ORPHAN_SEARCH_DELAY: Duration = Duration::from_millis(1_500);
/// Between two searches while such jobs are left to others.
pub const ORPHAN_SEARCH_INTERVAL: Duration = Duration::from_millis(1_500);

/// Gateways that watch the store at the same time; the others hear of changes from them. Every call
/// costs, a waiting one too: 27 gateways that all watched made 2,400 calls in a minute. With four,
/// a cut that takes a third of the gateways from the store takes all of these in 1 of 100 cases.
pub const STORE_WATCHERS: usize = 4;
/// From a gateway's start until others have told whether they watch: links form meanwhile.
pub const WATCH_START_DELAY: Duration = Duration::from_millis(1_500);
/// How often a gateway that doesn't watch looks whether it has to.
pub const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Least time between two answers of a watch of the gateways' entries: links tell sooner who is
/// there, and at a start every entry would wake everyone.
pub const GATEWAY_WATCH_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause after a failed call to the store before the next one, at most; half of it at least. A
/// cold start and the end of an outage wait for it.
pub const STORE_PAUSE: Duration = Duration::from_millis(400);
/// The store doesn't answer for this long before calls go through another gateway: one lost answer
/// or two are no reason, and clients give a job 4 s to be taken.
pub const DETOUR_AFTER: Duration = Duration::from_millis(250);
/// Between two direct calls while others go through another gateway: a direct call that isn't
/// answered takes half a second, and the first one that is ends the detour.
pub const DETOUR_PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Pause after another gateway could not help either: the store is likely away for all.
pub const DETOUR_PAUSE: Duration = Duration::from_millis(1_000);
/// A read that may be held asks the store for a job that nobody owns this often, at most.
pub const UNOWNED_JOB_READ_INTERVAL: Duration = Duration::from_millis(2_000);
/// Added to a watch's wait before its connection is taken for dead.
pub const WATCH_GRACE: Duration = Duration::from_millis(700);
/// How long entries that lapsed in an outage are kept after it: living targets are back in two
/// seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// A store that was away this long may have let entries lapse: three heartbeats of a target.
pub const LAPSE_OUTAGE: Duration = Duration::from_millis(1_000);
/// Bytes of one object that we write, at most: the store takes 1 MiB.
pub const OBJECT_BYTES: usize = 900 << 10;
/// Bytes of results in one answer to a client, at most: clients take 1 MB.
pub const RESULT_PAGE_BYTES: usize = 900 << 10;
/// Results wait this long for others before they are stored: ten items of a job end within a
/// second or two, so a job takes a few writes instead of ten. Reads come every half second.
pub const RESULT_DELAY: Duration = Duration::from_millis(400);
/// Attempts at a share of a limit for one job: each that another gateway was faster at costs a call.
pub const LIMIT_SHARE_ATTEMPTS: usize = 6;
/// Longest time until it's decided whether a job fits under a limit: two calls to a store that takes a
/// quarter of a second, with the answers of other gateways. Clients count a job that is taken within
/// 400 ms; one that can't be decided soon after that does better to come again.
pub const LIMIT_DECISION_TIMEOUT: Duration = Duration::from_millis(600);
/// Who has heard all gateways for so long knows every job that its client may send again: clients send one
/// again within seconds.
pub const CLIENT_RESEND_WINDOW: Duration = Duration::from_secs(10);
/// A job that isn't stored after this long is told to the other gateways: a write takes a few milliseconds.
pub const JOB_STORING_NOTICE_DELAY: Duration = Duration::from_millis(100);
/// Longest look in the store for a job that is about to be refused.
pub const REFUSAL_LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the store's answer about shares: a write that isn't answered, or a read. One that is lost is tried again in time.
pub const LIMIT_STORE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for other gateways to say what they still hold of a limit: an answer takes a few
/// milliseconds.
pub const LIMIT_PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// How often it's looked whether there is room under limits for the next jobs, beside after each job.
pub const ROOM_TICK: Duration = Duration::from_millis(1_000);
/// A gateway that hasn't been there this long has lost its shares of limits: it takes no more of its
/// jobs in, for those it sent to the store before have been stored or turned away by then.
pub const SHARE_HOLDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for a job to be stored before the client is told that its fate is unknown.
pub const INTAKE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Bytes of open jobs that a gateway holds, at most; more are refused.
pub const JOB_BYTES: usize = 24 << 20;
/// Bytes of results of other gateways' and of closed jobs that are kept for readers, at most.
pub const COPY_BYTES: usize = 4 << 20;
/// Between two searches for jobs whose results needn't be kept any longer, at most: a search is a
/// call or two, and jobs are kept for an hour or so.
pub const RETENTION_TICK: Duration = Duration::from_secs(60);
/// Jobs are kept this much longer, for wall clocks of two VMs that differ.
pub const RETENTION_MARGIN: Duration = Duration::from_secs(30);
/// Items started in one pass of the runner, at most, so that reports go out between passes.
pub const STARTS_PER_PASS: usize = 6;
/// An item runs at least this long before it's broken off for online work: what the others report
/// of a target is that old, and a start costs a prompt's reading.
pub const PREEMPT_AGE: Duration = Duration::from_millis(200);
/// Pause between passes of the runner while items wait for places.
pub const RUNNER_TICK: Duration = Duration::from_millis(40);
/// Pause of an item that found its target full or gone.
pub const ITEM_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// An owner whose write of results wasn't answered for this long asks the store before it says that
/// there is nothing more: an answer usually takes a few milliseconds.
pub const WRITE_CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait for another gateway to tell an item's body, which it holds in memory; the store is asked then.
pub const BODY_PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for a peer's answer beyond the wait that it was asked for.
pub const PEER_CALL_GRACE: Duration = Duration::from_millis(300);
/// Links that form again after a cut come within this time; jobs are checked once for all of them.
pub const VERIFY_DELAY: Duration = Duration::from_millis(200);
/// Longest wait of a read for news that is passed on to a peer.
pub const PEER_READ_WAIT: Duration = Duration::from_millis(900);

/// From the signal to stop until new connections may be refused: the platform takes a VM out after
/// two questions, a second apart.
pub const STOP_ACCEPT: Duration = Duration::from_millis(3_500);
/// From the signal to stop until jobs are left to other gateways: half of their runs end by
/// themselves meanwhile.
pub const STOP_JOB_HANDOVER: Duration = Duration::from_millis(2_500);
/// The same when no other gateway is there to take them: one that restarts may be by then.
pub const STOP_JOB_HANDOVER_ALONE: Duration = Duration::from_millis(6_700);
/// From the signal to stop until idle connections are closed.
pub const STOP_IDLE: Duration = Duration::from_millis(4_500);
/// From the signal to stop until the process ends whatever runs; it is killed after 8 s.
pub const STOP_DEADLINE: Duration = Duration::from_millis(7_200);
