//! What the cases share: the folder, the store, the servers, the gateways, and calls of clients.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateway::{Gateway, Sheet},
    http,
    json::{self, Json},
    record::Record,
    server::Fleet,
    store::Store,
};

pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
pub const ZONES: [&str; 3] = ["lhr-a", "lhr-b", "fsd-a"];

/// Contracts of the sheet in SYSTEM.md.
pub const CONTRACTS: &str = "base,drain,config,cost,recover,batch,stream,engine,platform";

pub struct Stage {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub trouble: bool,
    pub folder: PathBuf,
    gateways: Mutex<Vec<Arc<Gateway>>>,
}

impl Stage {
    pub fn new(case: &Path, trouble: bool) -> Self {
        let record = Arc::new(Record::create(&case.join("record.txt")));
        record.line(if trouble { "with the disruption" } else { "without the disruption" });
        let folder = std::env::temp_dir().join(format!("review-case-{}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::new(Arc::clone(&record));
        Self { record, store, trouble, folder, gateways: Mutex::default() }
    }

    /// Starts gateways, one in each zone in turn, and waits until all are ready and know each other.
    pub fn start_gateways(&self, count: usize, sheet: &Sheet) -> Option<Vec<Arc<Gateway>>> {
        self.place_gateways(count, sheet, false)
    }

    /// The same with links that run through proxies, so that a gateway can be cut off. Others open the links of the last
    /// one, whose name is the last.
    pub fn start_severable(&self, count: usize, sheet: &Sheet) -> Option<Vec<Arc<Gateway>>> {
        self.place_gateways(count, sheet, true)
    }

    fn place_gateways(
        &self,
        count: usize,
        sheet: &Sheet,
        has_proxies: bool,
    ) -> Option<Vec<Arc<Gateway>>> {
        let list: Vec<Arc<Gateway>> = (0..count)
            .map(|index| {
                let zone = ZONES[index % ZONES.len()];
                let name = format!("edge-{zone}-{}", index / ZONES.len() + 1);
                let endpoint = self.store.endpoint(&name);
                Arc::new(Gateway::new(&name, zone, sheet, endpoint, &self.folder, &self.record))
            })
            .collect();
        let mut list = list;
        list.sort_by(|a, b| a.name.cmp(&b.name));
        for gateway in list.iter().filter(|_| has_proxies) {
            self.store.relocate(gateway.links, gateway.link_proxy());
        }
        self.gateways.lock().unwrap().extend(list.iter().cloned());
        list.iter().for_each(|gateway| gateway.start());
        let all = list.iter().all(|gateway| gateway.await_ready(Duration::from_secs(10)));
        // Links are up, and the searches after the start are over.
        thread::sleep(Duration::from_secs(5));
        all.then_some(list)
    }

    pub fn fleet(&self, is_quiet: bool) -> Arc<Fleet> {
        Fleet::new(SERVICE, &self.store, &self.record, is_quiet)
    }

    pub fn configure(&self, config: &str) {
        self.store.put("config", "main", config);
    }

    pub fn client(&self) -> Client {
        Client { record: Arc::clone(&self.record) }
    }

    /// Ends all processes, and removes the folder unless it is to be kept.
    pub fn end(&self) {
        for gateway in self.gateways.lock().unwrap().iter() {
            gateway.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A configuration as the operator writes it.
pub fn config(version: u64, routes: &[String], more: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":200,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}{more}}}",
        routes.join(",")
    )
}

/// The streaming route of the sheet.
pub fn stream_route() -> String {
    format!("{{\"name\":\"r-a3hwrr6\",\"host\":\"{HOST}\",\"pathPrefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":300,\"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapAimMs\":250}}")
}

/// The batch route of the sheet.
pub fn batch_route(cap: u64) -> String {
    batch_route_at("pule252", cap)
}

/// The same for another folder.
pub fn batch_route_at(folder: &str, cap: u64) -> String {
    format!("{{\"name\":\"r-{folder}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{folder}/\",\"kind\":\"batch\",\"timeoutMs\":15000,\"targetLatencyMs\":400,\"completionTargetMs\":18000,\"itemTtlS\":60,\"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":3,\"cap\":{cap}}}")
}

/// A batch job.
#[derive(Debug, Clone)]
pub struct Lot {
    pub id: String,
    pub items: Vec<String>,
    /// First part of the paths, which names the route.
    folder: String,
    body: String,
}

impl Lot {
    /// A job of `count` items with bodies of `bytes` bytes and `tokens` tokens each.
    pub fn new(id: &str, count: usize, bytes: usize, tokens: u64) -> Self {
        Self::on("pule252", id, count, bytes, tokens)
    }

    /// A job on the route of this folder.
    pub fn on(folder: &str, id: &str, count: usize, bytes: usize, tokens: u64) -> Self {
        let items: Vec<String> = (0..count).map(|index| format!("{id}{index:04x}")).collect();
        let texts = items.iter().enumerate().map(|(index, item)| {
            let body = json::base64(&vec![b'a' + (index % 26) as u8; bytes]);
            format!(
                "{{\"id\":\"{item}\",\"path\":\"/{folder}/3/{item}\",\"headers\":{{\"Model\":\"m\",\"Token-Count\":\"{},{}\",\"Prompt-Prefix\":\"{item}:100\"}},\"body\":\"{body}\",\"tokens\":{tokens}}}",
                tokens / 2,
                tokens - tokens / 2
            )
        });
        let body = format!("{{\"items\":[{}]}}", texts.collect::<Vec<_>>().join(","));
        Self { id: id.to_owned(), items, folder: folder.to_owned(), body }
    }
}

/// Calls of clients, each on a new channel, with a line in the record.
#[derive(Clone)]
pub struct Client {
    pub record: Arc<Record>,
}

impl Client {
    pub fn submit(
        &self,
        to: &Gateway,
        lot: &Lot,
        key: Option<&str>,
        wait: Duration,
    ) -> Option<u16> {
        let began = Instant::now();
        let path = format!("/{}/{}", lot.folder, &lot.id[..6]);
        let bearer = key.map(|key| format!("Bearer {key}"));
        let mut headers = vec![
            ("Host", HOST),
            ("Attempt-Id", lot.id.as_str()),
            ("Content-Type", "application/json"),
        ];
        if let Some(bearer) = &bearer {
            headers.push(("Authorization", bearer));
        }
        let answer = http::call(to.front, "POST", &path, &headers, lot.body.as_bytes(), wait);
        let status = answer.ok().map(|answer| answer.status());
        let shown = status.map_or("no answer".to_owned(), |status| status.to_string());
        self.record.line(&format!(
            "client: batch job {} ({} items) to {}: {shown} after {} ms",
            lot.id,
            lot.items.len(),
            to.name,
            began.elapsed().as_millis()
        ));
        status
    }

    /// The results from the first on: the total, and pairs of item and state.
    pub fn read(
        &self,
        from: SocketAddr,
        lot: &str,
    ) -> Result<(u64, Vec<(String, String)>), String> {
        self.read_with(from, lot, &[])
    }

    /// The same with more headers.
    pub fn read_with(
        &self,
        from: SocketAddr,
        lot: &str,
        more: &[(&str, &str)],
    ) -> Result<(u64, Vec<(String, String)>), String> {
        let headers = [&[("Host", HOST)], more].concat();
        let mut results = Vec::new();
        loop {
            let path = format!("/magnolianotch/lots/{lot}?after={}", results.len());
            let wait = Duration::from_secs(3);
            let answer = http::call(from, "GET", &path, &headers, b"", wait);
            let answer = answer.map_err(|error| error.to_string())?;
            if answer.status() != 200 {
                return Err(answer.status().to_string());
            }
            let page = json::parse(&answer.text()).ok_or("not JSON")?;
            let total = page.get("total").and_then(Json::u64).ok_or("no total")?;
            let list = page.get("results").map(Json::arr).unwrap_or_default();
            if list.is_empty() {
                return Ok((total, results));
            }
            for result in list {
                let text =
                    |key: &str| result.get(key).and_then(|v| v.str()).unwrap_or("").to_owned();
                results.push((text("id"), text("state")));
            }
        }
    }
}

/// Waits until `is_met`; false if that takes longer than `wait`.
pub fn until(wait: Duration, is_met: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while !is_met() {
        if began.elapsed() > wait {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}
