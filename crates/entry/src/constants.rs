//! Timeouts, intervals and size limits of an entry VM.

use std::time::Duration;

/// Timeout of a TCP connect to a target. A handshake between failure domains takes 2 to 5 ms. A VM
/// without power never answers, and a lost SYN is retransmitted only after a second, by which time the
/// answer would be late anyway.
pub const TARGET_CONNECT: Duration = Duration::from_millis(120);
/// Interval between checks for targets that are due for a liveness probe.
pub const LIVENESS_TICK: Duration = Duration::from_millis(100);
/// Interval at which ejections of targets are announced and expire. Gateways send a target of 145 requests per second
/// among 39 one more request in twice this time.
pub const EJECTION_TICK: Duration = Duration::from_millis(100);
/// Timeout of a liveness probe; a target answers one within a few milliseconds.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(150);
/// Fraction of a route's maximum gap between events after which a stalled stream is resumed at another
/// target, so that the gap stays within its limit. Events normally come every 30 ms.
pub const STALL_FACTOR: f64 = 0.7;
/// Time without an event after which an item's run is moved to another target: about thirty event
/// intervals.
pub const ITEM_STALL: Duration = Duration::from_millis(1_000);
/// Timeout of the response head of an item. Items start only where a slot is free, so they don't queue.
pub const ITEM_FIRST_BYTE: Duration = Duration::from_millis(1_500);
/// Retries of a request after attempts that provably did not run, before it is refused. They don't count
/// against the route's attempt limit.
pub const MAX_NOT_RUN_RETRIES: u32 = 4;
/// Interval between searches for a slot for an interrupted stream.
pub const NO_SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// How long an interrupted stream looks for a slot before it is given up.
pub const NO_SLOT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Default retry delay of a refused client: half the duration of a typical stream, after which a slot is
/// likely to be free.
pub const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Deadline, in objectives of the route, below which a client isn't asked to retry: the retry delay
/// would use up most of its time.
pub const MIN_RETRY_OBJECTIVES: u32 = 6;
/// How long a request waits for the first configuration and target list: less than half of the usual
/// objective of 300 ms, and ten times what a start takes while the store answers.
pub const STARTUP_STATE_WAIT: Duration = Duration::from_millis(140);
/// Poll interval of that wait.
pub const STARTUP_STATE_POLL: Duration = Duration::from_millis(5);
/// Retry delay of a client that is refused for lack of state: the configuration isn't known yet or too old, or
/// the limiter of an account can't be reached.
pub const RETRY_AFTER_START: Duration = Duration::from_millis(300);
/// An idle connection is dropped this long before the target would close it.
pub const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle lifetime of a connection to a target that announces none.
pub const IDLE_DEFAULT: Duration = Duration::from_millis(2_500);
/// Maximum number of idle connections to one target. A target accepts 200 from all gateways together.
pub const IDLE_PER_TARGET: usize = 16;
/// Maximum size of a target's response head.
pub const ANSWER_HEAD_BYTES: usize = 32 << 10;
/// Maximum size of a non-streaming answer, which is buffered whole; a VM has 110 MB of memory.
pub const ANSWER_BODY_BYTES: usize = 16 << 20;
/// Timeout of a request's body, counted from the end of its head.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// A client that takes not a byte of an answer for this long is given up: no client waits as long.
pub const CLIENT_STALL: Duration = Duration::from_secs(10);
/// How long a read of a job waits for memory before it is refused: clients read twice a second.
pub const MEMORY_WAIT: Duration = Duration::from_millis(500);
/// Maximum size of what a client may send ahead (pipeline) while an earlier request is served. Beyond it
/// the connection isn't read until that answer is complete.
pub const READ_AHEAD_BYTES: usize = 64 << 10;

/// Interval at which a gateway checks whether it has to report to the others.
pub const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which unchanged target use is reported again.
pub const REPORT_IDLE: Duration = Duration::from_millis(1_000);
/// Minimum interval between two announcements of the work that waits here. In a burst of ninety times the
/// usual job rate, the jobs that arrive at all gateways within this interval amount to a hundredth of
/// what can be completed in time.
pub const DEMAND_PAUSE: Duration = Duration::from_millis(10);
/// Interval at which waiting work and available slots are evaluated, in addition to after each job.
pub const DEMAND_EVERY: Duration = Duration::from_millis(100);
/// Age below which a gateway may not know yet what work waits at the others, as its links are still being
/// established.
pub const DEMAND_SYNC_TIME: Duration = Duration::from_millis(2_000);
/// Interval at which nearly unchanged demand is announced again.
pub const DEMAND_IDLE: Duration = Duration::from_millis(1_000);
/// A gateway whose link has been down this long is considered dead, and its jobs are taken over.
pub const PEER_DEAD_AFTER: Duration = Duration::from_millis(1_000);
/// Maximum age of the last read of the gateways' entries for this gateway to know every peer that could
/// take jobs over. A watch on the entries without changes ends after 2.5 s, and the next one starts 1.5 s
/// later.
pub const ENTRIES_FRESH: Duration = Duration::from_millis(5_000);
/// A gateway that never had a link to this one is considered dead after this long. Must exceed
/// [`ENTRIES_FRESH`] by more than a handshake: by then the peer either knows this gateway or knows that
/// its own entries are too old to take jobs over.
pub const FIRST_LINK_TIMEOUT: Duration = Duration::from_millis(6_500);
/// A peer from which nothing came for this long is silent: while any peer is, the store is asked before a
/// read reports that a job has no more results. Must be shorter than [`PEER_DEAD_AFTER`] by more than a
/// message's transit time, and at least twice the links' heartbeat interval.
pub const PEER_SILENT_AFTER: Duration = Duration::from_millis(600);
/// Interval between checks of the other gateways.
pub const PEER_TICK: Duration = Duration::from_millis(250);
/// Delay from a gateway's start to its first search for jobs without an owner, so that links can be
/// established first.
pub const ORPHAN_SEARCH_DELAY: Duration = Duration::from_millis(1_500);
/// Interval between such searches while the jobs found are left to other gateways.
pub const ORPHAN_SEARCH_INTERVAL: Duration = Duration::from_millis(1_500);

/// Number of gateways that watch the store at the same time; they pass changes on to the others. Every
/// call costs, including a pending watch: 27 gateways that all watched made 2,400 calls in a minute. With
/// four watchers, a partition that separates a third of the gateways from the store hits all four in 1
/// of 100 cases.
pub const STORE_WATCHERS: usize = 4;
/// How long a gateway that has just started waits for the others to announce whether they watch, as links
/// are still being established.
pub const WATCH_START_DELAY: Duration = Duration::from_millis(1_500);
/// How long a gateway that has just started waits for the list of the others before it lists the rest from the store
/// itself: longer than the timeout of that call, which takes hundreds of milliseconds on the smallest VMs.
pub const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long after its start a gateway waits at least for configuration and targets from the others before it lists them
/// from the store itself; they answer within a few round trips once links are up.
pub const PEER_STATE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval at which a gateway that doesn't watch the store checks whether it has to.
pub const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two watch calls for the gateways' entries. Links show sooner which gateways are alive,
/// and when many start together the followers pass their entries on in few messages.
pub const GATEWAY_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// Upper bound of the randomized pause after a failed store call; the lower bound is half of it. A cold
/// start, and recovery after a store outage, are delayed by up to this.
pub const STORE_PAUSE: Duration = Duration::from_millis(400);
/// The store must have been unreachable this long before calls are forwarded to another gateway. A lost
/// answer or two don't justify that, and clients allow 4 s for a job to be accepted.
pub const FORWARD_AFTER: Duration = Duration::from_millis(250);
/// Interval between direct store calls while all others are forwarded to another gateway. An unanswered direct
/// call takes half a second; the first answered one ends the forwarding.
pub const FORWARD_PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Pause after another gateway could not reach the store either: it is probably down for all.
pub const FORWARD_PAUSE: Duration = Duration::from_millis(1_000);
/// Minimum interval between store reads of a job without an owner on behalf of a long-polling client.
pub const UNOWNED_JOB_READ_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time beyond a watch's own wait after which its connection is considered dead.
pub const WATCH_GRACE: Duration = Duration::from_millis(700);
/// How long target entries that expired in a store outage are kept after it: live targets have renewed
/// theirs within two seconds.
pub const EXPIRED_ENTRY_GRACE: Duration = Duration::from_millis(2_200);
/// Minimum length of a store outage in which entries may have expired: three heartbeats of a target.
pub const MIN_EXPIRY_OUTAGE: Duration = Duration::from_millis(1_000);
/// Maximum size of the contents of an object, however large the store's may be: it travels in one message between
/// gateways, too.
pub const OBJECT_BYTES: usize = 900 << 10;
/// Maximum size of what a message to another gateway contains; a link closes for a message of 4 MiB.
pub const MAX_PEER_MESSAGE_BYTES: usize = 3 << 20;
/// Maximum size of the results in one response; clients accept 1 MB.
pub const RESULT_PAGE_BYTES: usize = 900 << 10;
/// How long results are collected before they are stored, unless the job is due soon. Ten items of a job end within a
/// second or two, so that a job takes one or two writes instead of ten. Clients read every half second.
pub const RESULT_DELAY: Duration = Duration::from_millis(1_200);
/// Maximum number of attempts to write a share of a limit for one job; each one that loses a race against
/// another gateway costs a store call.
pub const LIMIT_SHARE_ATTEMPTS: usize = 6;
/// Timeout of the decision whether a job fits under a limit: two calls to a store that takes a quarter of
/// a second each, plus the other gateways' answers. Clients count a job as accepted if that takes at
/// most 400 ms; one that isn't decided soon after is better submitted again.
pub const LIMIT_DECISION_TIMEOUT: Duration = Duration::from_millis(600);
/// How far back jobs must be known to recognize one that its client submits again: clients do so within
/// seconds.
pub const CLIENT_RESEND_WINDOW: Duration = Duration::from_secs(10);
/// The other gateways are told of a job whose write to the store takes longer than this; a write normally
/// takes a few milliseconds.
pub const JOB_STORING_NOTICE_DELAY: Duration = Duration::from_millis(100);
/// Timeout of the store lookup of a job that is about to be refused.
pub const REFUSAL_LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a store call that reads or writes shares. A lost write leaves time for another attempt.
pub const LIMIT_STORE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of other gateways' answers about what they still hold of a limit; one takes a few
/// milliseconds.
pub const LIMIT_PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which the capacity left under limits is checked for the next jobs, in addition to after
/// each job.
pub const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// A gateway that has been gone this long loses its shares of limits. It accepts no more jobs on them, and
/// those it sent to the store before have been stored or rejected by then.
pub const SHARE_HOLDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of storing a job; after it the client is told that the outcome is unknown.
pub const JOB_STORING_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum total size of the open jobs that a gateway holds; more are refused.
pub const JOB_BYTES: usize = 24 << 20;
/// Maximum total size of cached results of closed jobs and of jobs that other gateways own.
pub const COPY_BYTES: usize = 4 << 20;
/// Maximum interval between searches for jobs past their retention. A search takes a call or two, and jobs
/// are kept for about an hour.
pub const RETENTION_TICK: Duration = Duration::from_secs(60);
/// Extra retention that allows for clock differences between two VMs.
pub const RETENTION_MARGIN: Duration = Duration::from_secs(30);
/// Maximum number of items started in one pass of the runner, so that reports are sent between passes.
pub const STARTS_PER_PASS: usize = 6;
/// Minimum run time of an item before it is preempted for online work: the other gateways' reports about
/// its target are up to this old, and each start repeats the prefill of the prompt.
pub const PREEMPT_AGE: Duration = Duration::from_millis(200);
/// Interval between passes of the runner while items wait for slots.
pub const RUNNER_TICK: Duration = Duration::from_millis(40);
/// Minimum interval between two passes that offer slots for items: short compared with an item's run of seconds.
pub const MIN_PASS_INTERVAL: Duration = Duration::from_millis(8);
/// Pause before an item that found its target full or gone is tried again.
pub const ITEM_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// An owner whose write of results has been unconfirmed for this long asks the store before it reports that
/// there is nothing more; a write is normally confirmed within a few milliseconds.
pub const WRITE_CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of another gateway's answer with an item's body, which it holds in memory; after it the store is
/// read.
pub const BODY_PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// Extra time for a peer's answer beyond the wait that the call itself asked for.
pub const PEER_CALL_GRACE: Duration = Duration::from_millis(300);
/// After a partition links come back within this time; ownership of jobs is checked once for all of them.
pub const VERIFY_DELAY: Duration = Duration::from_millis(200);
/// Maximum long-poll wait of a read that is forwarded to a peer.
pub const PEER_READ_WAIT: Duration = Duration::from_millis(900);

/// Retry delay of a client that a stopping gateway refuses. Another one serves it at once; this one is out of rotation
/// within two readiness probes.
pub const RETRY_AFTER_STOP: Duration = Duration::from_millis(100);
/// Longest time from the submission of a job to its answer: the read of the own entry, the decision on its limit, the
/// search for an earlier submission, and storing it.
pub const JOB_INTAKE_TIMEOUT: Duration = Duration::from_millis(3_900);
