//! Validation of the merged configuration: references between sections, and ranges of values.

use {
    super::{Account, Allowance, Cascade, Config, Rollout, Route, Server, Service},
    crate::{id::RegionId, table::Row},
    std::{fmt::Display, sync::Arc},
};

/// Length of a key's BLAKE3 hash in hexadecimal, in characters.
const HASH_CHARS: usize = 64;

/// Problem found in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// JSON pointer of the value.
    pub path: Arc<str>,
    /// What is wrong.
    pub what: Arc<str>,
    /// How to correct it.
    pub remedy: Arc<str>,
}

/// Returns every problem in the configuration.
pub fn check(config: &Config) -> Vec<Finding> {
    let mut checker = Checker { config, findings: Vec::new() };
    checker.check_models();
    config.accounts.iter().for_each(|row| checker.check_account(row));
    checker.check_key_hashes();
    config.cascades.iter().for_each(|row| checker.check_cascade(row));
    config.rollouts.iter().for_each(|row| checker.check_rollout(row));
    checker.check_one_rollout_per_model();
    config.servers.iter().for_each(|row| checker.check_server(row));
    config.services.iter().for_each(|row| checker.check_service(row));
    config.routes.iter().for_each(|row| checker.check_route(row));
    checker.check_limits();
    checker.findings
}

struct Checker<'a> {
    config: &'a Config,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn check_models(&mut self) {
        for row in &self.config.models {
            if !row.value.versions.contains(&row.value.stable) {
                let what = format!("version {} does not exist", row.value.stable);
                let path = path(&["models", &row.id, "stable"]);
                self.add(path, what, "name one of the model's versions");
            }
        }
    }

    fn check_account(&mut self, row: &Row<Account>) {
        let account = &row.value;
        for (index, allowance) in account.allow.iter().enumerate() {
            self.check_allowance(
                &path(&["accounts", &row.id, "allow", &index.to_string()]),
                allowance,
            );
        }
        for (index, service) in account.services.iter().enumerate() {
            if !self.config.services.contains(service) {
                let path = path(&["accounts", &row.id, "services", &index.to_string()]);
                let what = format!("service {service} does not exist");
                self.add(path, what, "add it under services or take it from the list");
            }
        }
        self.check_regions("accounts", &row.id, &account.allowed_regions);
        self.check_account_cascade(row);
        if !(0.0..=1.0).contains(&account.quality_target) {
            let path = path(&["accounts", &row.id, "quality_target"]);
            self.add(path, "is not between 0 and 1", "give a chance from 0 to 1");
        }
        if account.weight == 0 {
            let path = path(&["accounts", &row.id, "weight"]);
            self.add(path, "is 0", "give at least 1");
        }
    }

    fn check_route(&mut self, row: &Row<Route>) {
        let field_path = |field: &str| path(&["routes", &row.id, field]);
        let route = &row.value;
        if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
            self.add(
                field_path("path_prefix"),
                "has no slash at an end",
                "begin and end it with a slash",
            );
        }
        if route.attempts == 0 {
            self.add(field_path("attempts"), "is 0", "give at least 1");
        }
        if route.timeout.is_zero() {
            self.add(field_path("timeout_ms"), "is 0", "give the longest wait in milliseconds");
        }
        if route.targets.iter().all(|target| target.weight == 0) {
            self.add(
                field_path("targets"),
                "holds no weight",
                "give a service a weight of at least 1",
            );
        }
        for target in &route.targets {
            if !self.config.services.contains(&target.service) {
                let what = format!("service {} does not exist", target.service);
                self.add(
                    field_path("targets"),
                    what,
                    "add it under services or take it from the list",
                );
            }
        }
        self.check_regions("routes", &row.id, &route.allowed_regions);
        for model in &route.ladder {
            if !self.config.models.contains(model) {
                let what = format!("model {model} does not exist");
                self.add(
                    field_path("ladder"),
                    what,
                    "add it under models or take it from the list",
                );
            }
        }
    }

    /// Checks that every region of a list has a data centre, if data centres are configured.
    fn check_regions(&mut self, section: &str, id: &str, regions: &[RegionId]) {
        let data_centres = &self.config.data_centres;
        if data_centres.iter().next().is_none() {
            return;
        }
        for (index, region) in regions.iter().enumerate() {
            if !data_centres.iter().any(|row| row.value.region == *region) {
                let path = path(&[section, id, "allowed_regions", &index.to_string()]);
                let what = format!("region {region} has no data centre");
                self.add(path, what, "name the region of a data centre or remove it");
            }
        }
    }

    fn check_service(&mut self, row: &Row<Service>) {
        let Some(cold) = &row.value.cold_start else { return };
        if !(cold.per_second.is_finite() && cold.per_second > 0.0) {
            let path = path(&["services", &row.id, "cold_start", "per_second"]);
            self.add(path, "is not above 0", "give the requests a second that a cold server takes");
        }
    }

    fn check_allowance(&mut self, path: &str, allowance: &Allowance) {
        let Some(model) = self.config.models.get(&allowance.model) else {
            let what = format!("model {} does not exist", allowance.model);
            return self.add(format!("{path}/model"), what, "add it under models or remove it");
        };
        for (index, version) in allowance.versions.iter().flatten().enumerate() {
            if !model.versions.contains(version) {
                let what = format!("version {version} of {} does not exist", allowance.model);
                let path = format!("{path}/versions/{index}");
                self.add(path, what, "name one of the model's versions");
            }
        }
    }

    fn check_account_cascade(&mut self, row: &Row<Account>) {
        let Some(id) = &row.value.cascade else { return };
        let path = path(&["accounts", &row.id, "cascade"]);
        let Some(cascade) = self.config.cascades.get(id) else {
            let what = format!("cascade {id} does not exist");
            return self.add(path, what, "add it under cascades or name another");
        };
        for model in &cascade.models {
            if !row.value.allow.iter().any(|allowance| allowance.model == *model) {
                let what =
                    format!("cascade {id} names model {model}, which the account may not use");
                self.add(path.clone(), what, "allow the model or name another cascade");
            }
        }
    }

    fn check_key_hashes(&mut self) {
        let mut uses: Vec<KeyUse> = self.config.accounts.iter().flat_map(key_uses).collect();
        for key in &uses {
            let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
            if key.hash.len() != HASH_CHARS || !key.hash.chars().all(is_hex) {
                let remedy = "give the output of `hawthornmount config key-hash KEY`";
                self.add(key.path(), "is not a hash of a key", remedy);
            }
        }
        uses.sort();
        for pair in uses.windows(2).filter(|pair| pair[0].hash == pair[1].hash) {
            let what = format!("stands at {} too", pair[0].path());
            self.add(pair[1].path(), what, "give each account keys of its own");
        }
    }

    fn check_cascade(&mut self, row: &Row<Cascade>) {
        let models = &row.value.models;
        if models.is_empty() {
            let path = path(&["cascades", &row.id, "models"]);
            self.add(path, "is empty", "name at least one model");
        }
        let mut highest_price = None;
        for (index, id) in models.iter().enumerate() {
            let path = path(&["cascades", &row.id, "models", &index.to_string()]);
            let Some(model) = self.config.models.get(id) else {
                let what = format!("model {id} does not exist");
                self.add(path, what, "add it under models or take it from the cascade");
                continue;
            };
            if models[..index].contains(id) {
                self.add(path, format!("model {id} stands twice"), "remove one of them");
            } else if highest_price.is_some_and(|price| model.price < price) {
                let what = format!("model {id} is cheaper than one before it");
                self.add(path, what, "order the models from cheap to costly");
            }
            highest_price = highest_price.max(Some(model.price));
        }
    }

    fn check_rollout(&mut self, row: &Row<Rollout>) {
        let rollout = &row.value;
        match self.config.models.get(&rollout.model) {
            None => {
                let path = path(&["rollouts", &row.id, "model"]);
                let what = format!("model {} does not exist", rollout.model);
                self.add(path, what, "add it under models or remove the roll-out");
            }
            Some(model) if !model.versions.contains(&rollout.to) => {
                let path = path(&["rollouts", &row.id, "to"]);
                let what = format!("version {} of {} does not exist", rollout.to, rollout.model);
                self.add(path, what, "name one of the model's versions");
            }
            Some(_) => {}
        }
        let in_range = rollout.steps.iter().all(|step| *step > 0.0 && *step <= 1.0);
        let grows = rollout.steps.windows(2).all(|pair| pair[0] < pair[1]);
        if rollout.steps.is_empty() || !in_range || !grows {
            let path = path(&["rollouts", &row.id, "steps"]);
            let what = "is not a growing list of parts above 0 and up to 1";
            self.add(path, what, "give parts such as [0.05, 0.25, 1]");
        }
    }

    fn check_one_rollout_per_model(&mut self) {
        let rollouts: Vec<_> = self.config.rollouts.iter().collect();
        for (index, row) in rollouts.iter().enumerate() {
            let model = &row.value.model;
            if let Some(first) = rollouts[..index].iter().find(|other| other.value.model == *model)
            {
                let path = path(&["rollouts", &row.id, "model"]);
                let what = format!("model {model} is rolled out by {} too", first.id);
                self.add(path, what, "end one roll-out before the next, or remove one");
            }
        }
    }

    fn check_server(&mut self, row: &Row<Server>) {
        let server = &row.value;
        if !self.config.data_centres.contains(&server.data_centre) {
            let path = path(&["servers", &row.id, "data_centre"]);
            let what = format!("data centre {} does not exist", server.data_centre);
            self.add(path, what, "add it under data_centres");
        }
        for (index, model) in server.models.iter().enumerate() {
            if !self.config.models.contains(model) {
                let path = path(&["servers", &row.id, "models", &index.to_string()]);
                let what = format!("model {model} does not exist");
                self.add(path, what, "add it under models or take it from the list");
            }
        }
        for (index, service) in server.services.iter().enumerate() {
            if !self.config.services.contains(service) {
                let path = path(&["servers", &row.id, "services", &index.to_string()]);
                let what = format!("service {service} does not exist");
                self.add(path, what, "add it under services or take it from the list");
            }
        }
        if server.slots == 0 {
            self.add(path(&["servers", &row.id, "slots"]), "is 0", "give at least 1");
        }
    }

    fn check_limits(&mut self) {
        let limits = &self.config.limits;
        if limits.body_bytes == 0 {
            self.add("/limits/body_bytes", "is 0", "give at least 1");
        }
        if limits.deadline.is_zero() {
            self.add("/limits/deadline_ms", "is 0", "give at least 1");
        }
    }

    fn add(&mut self, path: impl Into<Arc<str>>, what: impl Display, remedy: &str) {
        let what = what.to_string().into();
        self.findings.push(Finding { path: path.into(), what, remedy: remedy.into() });
    }
}

/// Occurrence of a key's hash in an account's list.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct KeyUse {
    hash: Arc<str>,
    account: Arc<str>,
    index: usize,
}

impl KeyUse {
    fn path(&self) -> String {
        path(&["accounts", &self.account, "key_hashes", &self.index.to_string()])
    }
}

fn key_uses(row: &Row<Account>) -> impl Iterator<Item = KeyUse> {
    let hashes = row.value.key_hashes.iter().enumerate();
    hashes.map(|(index, hash)| KeyUse { hash: hash.clone(), account: row.id.clone(), index })
}

/// Joins keys to a JSON pointer, escaping `~` and `/`.
fn path(keys: &[&str]) -> String {
    let escaped = keys.iter().map(|key| key.replace('~', "~0").replace('/', "~1"));
    escaped.fold(String::new(), |pointer, key| pointer + "/" + &key)
}
