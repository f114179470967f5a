//! The sample settings and catalogue entries of both deployments.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

use notch_catalogue::{CatalogueEntry, check, key::parse_kind, key_digest};
use notch_settings::prelude::*;
use rstest::rstest;

fn samples(deployment: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples").join(deployment)
}

fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder of samples");
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.expect("readable").path()).collect();
    paths.sort();
    paths
}

fn has_ending(path: &Path, ending: &str) -> bool {
    path.extension().is_some_and(|found| found == ending)
}

#[rstest]
#[case("rahbar", 3)]
#[case("raiffalm", 4)]
fn sample_settings_are_valid_and_fit_together(#[case] deployment: &str, #[case] domains: usize) {
    let mut addresses = BTreeSet::new();
    let mut nodes: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut names = BTreeSet::new();
    let mut targets = BTreeSet::new();
    for path in files(&samples(deployment)).iter().filter(|path| has_ending(path, "ini")) {
        let file = path.file_name().expect("a file").to_string_lossy().into_owned();
        let (node, listens, secret) = match file.starts_with("gateway-") {
            true => {
                let config = GatewayConfig::load(path).unwrap_or_else(|e| panic!("{file}:\n{e}"));
                let listen = config.listen;
                (config.node, vec![listen.callers, listen.links, listen.metrics], config.links)
            }
            false => {
                let config = SidecarConfig::load(path).unwrap_or_else(|e| panic!("{file}:\n{e}"));
                targets.insert(config.target.name.to_string());
                let listens =
                    vec![config.listen.links, config.listen.metrics, config.target.address];
                (config.node, listens, config.links)
            }
        };
        for address in listens {
            assert!(addresses.insert(address), "{file}: {address} is taken");
        }
        assert!(names.insert(node.vm.clone()), "{file}: {} is taken", node.vm);
        let kind = file.split('-').next().expect("a kind").to_owned();
        nodes.entry(kind).or_default().insert(node.domain.to_string());
        let root = samples(deployment).join("../..");
        let path = secret.secret_file.expect("a file for trials");
        let links = LinkSettings { secret_file: Some(root.join(path)), ..LinkSettings::default() };
        links.read_secret().unwrap_or_else(|e| panic!("{file}: {e}"));
    }
    let listed = fs::read_to_string(samples(deployment).join("vms.json")).expect("a VM list");
    for vm in &names {
        assert!(listed.contains(&format!("\"{vm}\"")), "{vm} is not in the VM list");
    }
    assert_eq!(nodes["gateway"].len(), domains);
    assert_eq!(nodes["gateway"], nodes["sidecar"]);
    for target in targets {
        let entry = samples(deployment).join(format!("catalogue/target/{target}.json"));
        assert!(entry.is_file(), "{} has no entry", target);
    }
}

#[rstest]
#[case("rahbar")]
#[case("raiffalm")]
fn sample_entries_are_valid(#[case] deployment: &str) {
    let mut replicas = 0;
    for folder in files(&samples(deployment).join("catalogue")) {
        let kind = folder.file_name().expect("a kind").to_string_lossy().into_owned();
        let kind = parse_kind(&kind).expect("a kind of entries");
        for path in files(&folder) {
            let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
            let json = fs::read(&path).expect("readable");
            let entry = check(kind, &name, &json).unwrap_or_else(|faults| {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                panic!("{}: {}", path.display(), faults.join("; "))
            });
            match entry {
                CatalogueEntry::Account(account) => {
                    assert_eq!(account.key_sha256, key_digest(&format!("trial-key-{name}")));
                }
                CatalogueEntry::Target(target) => {
                    replicas += target.model.map_or(0, |model| model.replicas);
                }
                CatalogueEntry::Policy(_) | CatalogueEntry::Leaving(_) => {}
            }
        }
    }
    assert_eq!(replicas, 20, "one model on about 20 servers");
}
