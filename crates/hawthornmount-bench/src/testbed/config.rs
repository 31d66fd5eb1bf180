//! Configuration of the testbed.

use {
    super::{Server, Spec},
    hawthornmount_core::config::key_hash,
    hawthornmount_standin::engine::Loaded,
    serde_json::{Map, Value, json},
    std::time::Duration,
};

/// Only version of every model.
pub const VERSION: &str = "v1";
/// Price per megabyte transferred between regions, in micro-units.
const TRANSFER_PRICE: u64 = 20_000;
/// Prefix of an account's key; the name of the account follows.
pub const ACCOUNT_KEY_PREFIX: &str = "key-of-";

/// Model that every engine of the testbed has loaded.
#[derive(Clone, Copy, Debug)]
pub struct ModelSpec {
    /// Name.
    pub id: &'static str,
    /// Price of a thousand tokens, in micro-units.
    pub price: u64,
    /// Probability of a good answer, unless it is set for the kind of task.
    pub quality: f64,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub per_token: Duration,
}

/// Client account of the testbed.
#[derive(Clone, Copy, Debug)]
pub struct AccountSpec {
    /// Name.
    pub id: &'static str,
    /// Weight of the account's share, relative to the weights of the other accounts.
    pub weight: u32,
    /// Required probability of a good answer.
    pub quality_target: f64,
}

impl ModelSpec {
    /// Returns the model's only version.
    pub fn loaded(&self) -> Loaded {
        Loaded { model: self.id.into(), version: VERSION.into() }
    }
}

/// Returns the configuration document for the given servers.
pub fn configuration(spec: &Spec, servers: &[Server]) -> Value {
    let ids: Vec<&str> = spec.models.iter().map(|model| model.id).collect();
    let allow: Vec<Value> = ids.iter().map(|id| json!({ "model": id })).collect();
    let account = |entry: &AccountSpec| {
        let key = format!("{ACCOUNT_KEY_PREFIX}{}", entry.id);
        let value = json!({
            "key_hashes": [&*key_hash(&key)],
            "weight": entry.weight,
            "cascade": "all",
            "allow": allow,
            "quality_target": entry.quality_target,
        });
        (entry.id.to_owned(), value)
    };
    let model = |entry: &ModelSpec| {
        let versions = json!({ VERSION: { "state": "proven" } });
        let value = json!({ "price": entry.price, "stable": VERSION, "versions": versions });
        (entry.id.to_owned(), value)
    };
    let data_centre = |entry: &super::DataCentre| {
        (entry.id.to_owned(), json!({ "region": entry.region, "transfer_price": TRANSFER_PRICE }))
    };
    let server = |entry: &Server| {
        let address = entry.engine.as_ref().map(|engine| engine.address().to_string());
        let value = json!({
            "address": address,
            "data_centre": entry.data_centre,
            "slots": spec.slots,
            "models": ids,
        });
        (entry.id.to_string(), value)
    };
    json!({
        "accounts": spec.accounts.iter().map(account).collect::<Map<_, _>>(),
        "models": spec.models.iter().map(model).collect::<Map<_, _>>(),
        "cascades": { "all": { "models": ids } },
        "data_centres": spec.data_centres.iter().map(data_centre).collect::<Map<_, _>>(),
        "servers": servers.iter().map(server).collect::<Map<_, _>>(),
    })
}
