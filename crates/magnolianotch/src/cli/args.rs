//! The commands and their options.

use std::path::PathBuf;

use argh::FromArgs;

/// magnolianotch: serves online and batch inference on one fleet.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Environment: MAGNOLIANOTCH_GATEWAY and MAGNOLIANOTCH_KEY stand in for --gateway and --key.",
    error_code(0, "done"),
    error_code(1, "refused, or checked and found wrong"),
    error_code(2, "wrong usage, or a local file that can't be read"),
    error_code(3, "the gateway can't be reached; nothing was sent"),
    error_code(4, "another edit came first; both sides are shown"),
    error_code(5, "sent, and the outcome is unknown")
)]
pub struct CommandLine {
    /// the gateway's URL (default http://127.0.0.1:7100)
    #[argh(option)]
    pub gateway: Option<String>,
    /// the account's key; better in MAGNOLIANOTCH_KEY, where other users don't see it
    #[argh(option)]
    pub key: Option<String>,
    /// print JSON, for scripts
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: ProgramCommand,
}

/// The same arguments with the program's own options before the command, where the library wants
/// them: people write them last.
pub(super) fn globals_first<'a>(arguments: &[&'a str]) -> Vec<&'a str> {
    let mut globals = Vec::new();
    let mut others = Vec::new();
    let mut files = Vec::new();
    let mut rest = arguments.iter().copied();
    while let Some(argument) = rest.next() {
        match argument {
            "--json" => globals.push(argument),
            "--gateway" | "--key" => {
                globals.push(argument);
                globals.extend(rest.next());
            }
            // The library takes a lone dash for an option it does not know. It stands for a file,
            // and files come last.
            "-" => files.extend(["--", argument]),
            "--" => {
                others.push(argument);
                others.extend(rest.by_ref());
            }
            _ => others.push(argument),
        }
    }
    globals.extend(others);
    globals.extend(files);
    globals
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ProgramCommand {
    /// The catalogue of accounts, targets and policy.
    Catalogue(CatalogueArgs),
    /// Batch jobs.
    Job(JobArgs),
    /// The fleet as a gateway sees it.
    Status(StatusArgs),
    /// What happened and why.
    Explain(ExplainArgs),
    /// Stand-ins of the outside systems.
    StandIn(StandInArgs),
    /// The demo.
    Demo(DemoArgs),
    /// Measurements.
    Measure(MeasureArgs),
    /// The fault soak.
    Soak(SoakArgs),
    /// The laboratory.
    Lab(LabArgs),
}

/// check, read and edit the catalogue
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "catalogue")]
pub struct CatalogueArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: CatalogueCommand,
}

/// What to do with the catalogue.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum CatalogueCommand {
    /// Checks files here.
    Check(CheckArgs),
    /// Shows one entry.
    Get(GetArgs),
    /// Writes one entry.
    Put(PutArgs),
    /// Lists entries.
    List(ListArgs),
    /// Tells where entries are in force.
    Status(SurveyArgs),
}

/// check entry files without a gateway; a file is named KIND/NAME.json
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// files, or folders whose KIND/NAME.json files are all checked
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// show one entry; its version, which an edit names, goes to standard error
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// account, target, policy or leaving
    #[argh(positional)]
    pub kind: String,
    /// the entry's name
    #[argh(positional)]
    pub name: String,
}

/// write one entry, if nobody has changed it since the version named
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub struct PutArgs {
    /// account, target, policy or leaving
    #[argh(positional)]
    pub kind: String,
    /// the entry's name
    #[argh(positional)]
    pub name: String,
    /// file with the entry's JSON text, - for standard input
    #[argh(positional)]
    pub file: PathBuf,
    /// the version the edit was made from, as get told it
    #[argh(option)]
    pub base: Option<u64>,
    /// there is no such entry yet
    #[argh(switch)]
    pub new: bool,
}

/// list entries and their versions
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListArgs {
    /// only this kind: account, target, policy or leaving
    #[argh(positional)]
    pub kind: Option<String>,
}

/// tell for each entry how many nodes have it in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct SurveyArgs {}

/// submit, watch, cancel and read batch jobs
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub struct JobArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: JobCommand,
}

/// What to do with jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum JobCommand {
    /// Submits a job.
    Submit(SubmitArgs),
    /// Tells how far a job is.
    Status(JobStatusArgs),
    /// Cancels a job.
    Cancel(JobCancelArgs),
    /// Reads results.
    Results(JobResultsArgs),
}

/// submit a file of lines {"custom_id": …, "body": {…}}; sending the same file again is safe
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct SubmitArgs {
    /// the file, - for standard input
    #[argh(positional)]
    pub file: PathBuf,
    /// the target's catalogue name
    #[argh(option)]
    pub target: String,
    /// when it is due: 2026-12-02T18:30:00Z, or a time from now such as 6h
    #[argh(option)]
    pub due: String,
    /// names the job; without one, the same content is the same job
    #[argh(option)]
    pub idempotency_key: Option<String>,
    /// items may run once only
    #[argh(switch)]
    pub non_idempotent: bool,
    /// wait until the job has ended
    #[argh(switch)]
    pub wait: bool,
}

/// tell how far a job is
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct JobStatusArgs {
    /// the job's id
    #[argh(positional)]
    pub job: String,
    /// wait until it has ended
    #[argh(switch)]
    pub wait: bool,
}

/// cancel a job
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct JobCancelArgs {
    /// the job's id
    #[argh(positional)]
    pub job: String,
}

/// read a job's results as lines of JSON, in input order
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "results")]
pub struct JobResultsArgs {
    /// the job's id
    #[argh(positional)]
    pub job: String,
    /// first item wanted, from 0
    #[argh(option)]
    pub from: Option<u32>,
    /// most lines
    #[argh(option)]
    pub limit: Option<u32>,
    /// file to write, in place of standard output
    #[argh(option)]
    pub output: Option<PathBuf>,
}

/// show the fleet as a gateway sees it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// tell what happened and why: which target, which retry, which refusal
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// request, job, target or vm
    #[argh(positional)]
    pub kind: String,
    /// its id or name
    #[argh(positional)]
    pub id: String,
}

/// run a stand-in of an outside system until it is stopped; for development
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "stand-in")]
pub struct StandInArgs {
    /// which one
    #[argh(subcommand)]
    pub command: StandInCommand,
}

/// Which stand-in.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum StandInCommand {
    /// The platform.
    Platform(PlatformArgs),
    /// A model engine.
    Engine(EngineArgs),
    /// A plain service.
    Service(ServiceArgs),
}

/// object API, VM list and weight store
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// where to serve, ip:port
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub address: String,
    /// file with the VM list: a JSON array of vm, role, address, domain and state
    #[argh(option)]
    pub vms: Option<String>,
}

/// model engine
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineArgs {
    /// where to serve, ip:port
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub address: String,
    /// model loaded at the start, NAME:VERSION; may be given more than once
    #[argh(option)]
    pub model: Vec<String>,
    /// streams that run at once
    #[argh(option)]
    pub slots: Option<usize>,
    /// ignore fencing numbers, as some deployments' engines do
    #[argh(switch)]
    pub ignore_fencing: bool,
}

/// plain service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceArgs {
    /// where to serve, ip:port
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub address: String,
    /// how long each call takes, for example 5ms
    #[argh(option)]
    pub delay: Option<String>,
}

/// run a small fleet in this process under load, lose a gateway and a target, and check every
/// result
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {}

/// run gateways as processes on loopback under random faults, and check what clients and targets
/// saw; for development
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct SoakArgs {
    /// seed of the faults (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// how many seeds, from that one on, one after the other (default 1)
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// minutes of faults for each seed (default 1)
    #[argh(option, default = "1.0")]
    pub minutes: f64,
    /// gateways (default 3)
    #[argh(option, default = "3")]
    pub gateways: usize,
    /// targets (default 5)
    #[argh(option, default = "5")]
    pub targets: usize,
    /// clients with online requests; a third as many send jobs (default 6)
    #[argh(option, default = "6")]
    pub clients: u64,
    /// the gateways' program (default: notch-entry beside this one)
    #[argh(option)]
    pub program: Option<PathBuf>,
    /// whether gateways evict each other; the first one is frozen at the beginning for longer than that takes
    #[argh(switch)]
    pub evict: bool,
    /// whether there are also accounts with a limit, of which one sends several times its limit for some seconds at a
    /// time, and more gateways are killed, frozen and cut off from each other
    #[argh(switch)]
    pub limit_accounts: bool,
    /// whether homes offer slots for items and are frozen; jobs have more items, which take longer
    #[argh(switch)]
    pub offer_items: bool,
    /// whether targets have two versions of their software, and clients take broken streams up at other gateways
    #[argh(switch)]
    pub mix_versions: bool,
    /// replace all targets by ones of a later version again and again, each time beside a gateway that is cut off or
    /// stands still; clients take broken streams up
    #[argh(switch)]
    pub release_versions: bool,
    /// also send jobs whose items fail at each run, with whole, cut and withheld answers, and kill more gateways
    #[argh(switch)]
    pub fail_items: bool,
    /// kill all gateways at once from time to time
    #[argh(switch)]
    pub kill_all: bool,
    /// whether some requests have a prompt part that crashes each target which begins to answer them
    #[argh(switch)]
    pub crash_parts: bool,
    /// whether two requests that crash each target which begins to answer them come again and again, and share prompt
    /// parts with sound ones
    #[argh(switch)]
    pub crash_requests: bool,
    /// whether most new connections come to one gateway for some seconds, of which a thousand stay open
    #[argh(switch)]
    pub flood_gateways: bool,
    /// whether requests that crash targets come again each 1, 40 and 160 seconds, and jobs have items that crash them
    #[argh(switch)]
    pub resend_crashing: bool,
    /// whether clients name the time that they wait, against which the time that targets are given is checked
    #[argh(switch)]
    pub name_deadlines: bool,
    /// longest time from one fault to the next, seconds (default: 1.5, so that faults overlap)
    #[argh(option)]
    pub fault_gap: Option<f64>,
    /// folder for the gateways' settings and logs (default: soak in the temporary folder)
    #[argh(option)]
    pub folder: Option<PathBuf>,
}

/// replay a load pattern against the decisions that ship, in virtual time, and compare ways to choose a
/// target; for development
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lab")]
pub struct LabArgs {
    /// the pattern, or a study: crashing-part, crowded-gateway, taken-up-streams; all patterns when it isn't given
    #[argh(positional)]
    pub pattern: Option<String>,
    /// how many seeds, from 1 on (default 5)
    #[argh(option, default = "5")]
    pub seeds: u64,
    /// ways to choose, with commas between: reports, homes, shared-items, unsorted-items, performance,
    /// all-knowing (default: reports, homes, all-knowing; the first is compared with)
    #[argh(option, default = "String::from(\"reports,homes,all-knowing\")")]
    pub compare: String,
}

/// measure on a small fleet in this process; for development
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
pub struct MeasureArgs {
    /// what to measure
    #[argh(subcommand)]
    pub command: MeasureCommand,
}

/// What to measure.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum MeasureCommand {
    /// Online latency and batch throughput.
    Online(MeasureOnlineArgs),
    /// Costs against the size of the fleet.
    Slopes(MeasureSlopesArgs),
    /// The ledger and its jobs.
    State(MeasureStateArgs),
}

/// measure what each role costs against the size of the fleet: the points behind CAPACITY.md;
/// about two minutes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct MeasureSlopesArgs {
    /// parts to measure, all if none is named: memory, membership, assignments, losses, facts,
    /// catalogue, router, gate, ledger, ledger-settings, keyed, recovery, jobs, intake, placement,
    /// wire
    #[argh(positional)]
    pub parts: Vec<String>,
}

/// measure the ledger and its jobs: store calls, commit delays, recovery, memory
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "state")]
pub struct MeasureStateArgs {}

/// measure online latency and batch throughput: each alone, together under this policy, first come
/// first served, and with faults; under five minutes for both profiles
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "online")]
pub struct MeasureOnlineArgs {
    /// rahbar, raiffalm or both
    #[argh(option, default = "String::from(\"both\")")]
    pub profile: String,
    /// measured seconds of each variant
    #[argh(option, default = "14")]
    pub seconds: u64,
    /// seed of the arrivals
    #[argh(option, default = "7")]
    pub seed: u64,
    /// rate of arrivals in a burst over that between bursts
    #[argh(option, default = "3.0")]
    pub burst: f64,
    /// only online alone, batch alone and both under the policy
    #[argh(switch)]
    pub brief: bool,
    /// file for a picture, SVG
    #[argh(option)]
    pub plot: Option<PathBuf>,
}
