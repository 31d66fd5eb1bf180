//! Configuration of an experiment.

use {
    super::{Server, Spec},
    hawthornmount_core::config::key_hash,
    hawthornmount_standin::engine::Loaded,
    serde_json::{Map, Value, json},
    std::time::Duration,
};

/// Version of every model.
pub const VERSION: &str = "v1";
/// First characters of an account's key; its name follows.
pub const ACCOUNT_KEY: &str = "key-of-";

/// A model of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct ModelSpec {
    /// Name.
    pub id: &'static str,
    /// Price of a thousand tokens.
    pub price: u64,
    /// Chance of a good answer, unless the kind of task has its own.
    pub quality: f64,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub per_token: Duration,
}

/// An account of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct AccountSpec {
    /// Name.
    pub id: &'static str,
    /// Share against the other accounts' weights.
    pub weight: u32,
    /// Chance that an answer has to be good.
    pub quality_target: f64,
}

impl ModelSpec {
    /// Returns the model's only version.
    pub fn loaded(&self) -> Loaded {
        Loaded { model: self.id.into(), version: VERSION.into() }
    }
}

pub fn value(spec: &Spec, servers: &[Server]) -> Value {
    let ids: Vec<&str> = spec.models.iter().map(|model| model.id).collect();
    let allow: Vec<Value> = ids.iter().map(|id| json!({ "model": id })).collect();
    let account = |one: &AccountSpec| {
        let key = format!("{ACCOUNT_KEY}{}", one.id);
        let value = json!({
            "key_hashes": [&*key_hash(&key)],
            "weight": one.weight,
            "cascade": "all",
            "allow": allow,
            "quality_target": one.quality_target,
        });
        (one.id.to_owned(), value)
    };
    let model = |one: &ModelSpec| {
        let versions = json!({ VERSION: { "state": "proven" } });
        let value = json!({ "price": one.price, "stable": VERSION, "versions": versions });
        (one.id.to_owned(), value)
    };
    let data_centre = |one: &super::DataCentre| {
        (one.id.to_owned(), json!({ "region": one.region, "transfer_price": 20_000 }))
    };
    let server = |one: &Server| {
        let address = one.engine.as_ref().map(|engine| engine.address().to_string());
        let value = json!({
            "address": address,
            "data_centre": one.data_centre,
            "slots": spec.slots,
            "models": ids,
        });
        (one.id.to_string(), value)
    };
    json!({
        "accounts": spec.accounts.iter().map(account).collect::<Map<_, _>>(),
        "models": spec.models.iter().map(model).collect::<Map<_, _>>(),
        "cascades": { "all": { "models": ids } },
        "data_centres": spec.data_centres.iter().map(data_centre).collect::<Map<_, _>>(),
        "servers": servers.iter().map(server).collect::<Map<_, _>>(),
    })
}
