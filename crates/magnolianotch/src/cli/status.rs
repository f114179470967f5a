//! `status`: the fleet as a gateway sees it.

use serde::Deserialize;
use serde_json::Value;

use super::{error::CliError, gateway::GatewayClient, output::CommandOutput, table::TextTable};

/// What a gateway tells. Fields that another release left out have their defaults.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct FleetStatus {
    gateway: String,
    leaving: bool,
    store_up: bool,
    catalogue_ready: bool,
    entries_in_force: u64,
    callers_waiting: u64,
    open_items: u64,
    gateways: Vec<MemberLine>,
    domains: Vec<DomainLine>,
    sidecars: Vec<SidecarLine>,
    shards: Vec<ShardLine>,
}

/// One gateway.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct MemberLine {
    vm: String,
    domain: String,
    address: String,
    state: String,
}

/// One failure domain.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct DomainLine {
    domain: String,
    live: u64,
    dead: u64,
    down: bool,
}

/// One sidecar linked to the gateway.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct SidecarLine {
    vm: String,
    draining: bool,
    targets: Vec<LoadLine>,
}

/// One target behind a sidecar.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LoadLine {
    target: String,
    up: bool,
    online_running: u64,
    online_waiting: u64,
    batch_running: u64,
    limit: u64,
}

/// One ledger shard.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ShardLine {
    shard: u64,
    owner: Option<String>,
    epoch: u64,
}

/// Shows the status.
pub(super) async fn run(
    client: &GatewayClient,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    let status: Value = client.get(&["operator", "status"]).await?;
    if output.is_json() {
        output.json(&status);
        return Ok(());
    }
    let status: FleetStatus =
        serde_json::from_value(status).map_err(|_| CliError::Malformed(200))?;
    show(&status, output);
    Ok(())
}

fn show(status: &FleetStatus, output: &mut CommandOutput) {
    let leaving = if status.leaving { ", leaving" } else { "" };
    output.line(&format!("seen by {}{leaving}", status.gateway));
    let store = if status.store_up { "answers" } else { "DOES NOT ANSWER" };
    output.line(&format!("object API  {store}"));
    let ready = if status.catalogue_ready { "" } else { ", NOT READY" };
    output.line(&format!("catalogue   {} entries in force{ready}", status.entries_in_force));
    output.line(&format!(
        "work        {} callers waiting here, {} batch items open in the fleet",
        status.callers_waiting, status.open_items
    ));
    domains(status).write(output);
    gateways(status).write(output);
    sidecars(status).write(output);
    shards(status).write(output);
}

fn domains(status: &FleetStatus) -> TextTable {
    let mut table = TextTable::new("failure domain", &["gateways live", "dead", "state"]);
    for line in &status.domains {
        let state = if line.down { "DOWN" } else { "up" };
        table.row(&[&line.domain, &line.live.to_string(), &line.dead.to_string(), state]);
    }
    table
}

fn gateways(status: &FleetStatus) -> TextTable {
    let mut table = TextTable::new("gateway", &["failure domain", "links at", "state"]);
    for line in &status.gateways {
        table.row(&[&line.vm, &line.domain, &line.address, &line.state]);
    }
    table
}

fn sidecars(status: &FleetStatus) -> TextTable {
    let heads = ["state", "target", "online", "waiting", "batch", "limit"];
    let mut table = TextTable::new("sidecar", &heads);
    for line in &status.sidecars {
        let state = if line.draining { "draining" } else { "takes work" };
        if line.targets.is_empty() {
            table.row(&[&line.vm, state, "no report yet"]);
        }
        for load in &line.targets {
            let target =
                if load.up { load.target.clone() } else { format!("{} DOWN", load.target) };
            let figures =
                [load.online_running, load.online_waiting, load.batch_running, load.limit];
            let figures = figures.map(|figure| figure.to_string());
            let [online, waiting, batch, limit] = &figures;
            table.row(&[&line.vm, state, &target, online, waiting, batch, limit]);
        }
    }
    table
}

/// Shards by owner: with hundreds of them, nobody reads one line for each.
fn shards(status: &FleetStatus) -> TextTable {
    let mut table = TextTable::new("shards owned by", &["number", "shard:epoch"]);
    let mut owners: Vec<Option<&str>> =
        status.shards.iter().map(|line| line.owner.as_deref()).collect();
    owners.sort_unstable();
    owners.dedup();
    for owner in owners {
        let owned: Vec<String> = status
            .shards
            .iter()
            .filter(|line| line.owner.as_deref() == owner)
            .map(|line| format!("{}:{}", line.shard, line.epoch))
            .collect();
        let name = owner.unwrap_or("NOBODY");
        table.row(&[name, &owned.len().to_string(), &owned.join(" ")]);
    }
    table
}
