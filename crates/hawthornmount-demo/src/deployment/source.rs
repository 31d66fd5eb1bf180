//! Files of the demo's configuration: the example folder and one with the started servers.

use {
    super::{Deployment, ENGINE_SLOTS, Size},
    hawthornmount_core::merge::Source,
    serde_json::{Map, Value, json},
};

const PLACES: &str = include_str!("../../../../examples/config/10-places.jsonc");
const MODELS: &str = include_str!("../../../../examples/config/20-models.jsonc");
const ACCOUNTS: &str = include_str!("../../../../examples/config/30-accounts.jsonc");

/// Price of a megabyte to or from another region, in micro-units.
const TRANSFER_PRICE: u64 = 20_000;
/// Calls that the plain service runs at a time.
const SERVICE_SLOTS: u32 = 64;

/// Returns the files in byte order of their names.
pub fn sources(world: &Deployment) -> Vec<Source> {
    vec![
        source("10-places.jsonc", PLACES),
        source("20-models.jsonc", MODELS),
        source("30-accounts.jsonc", ACCOUNTS),
        source("40-more-places.json", &places(world.shape).to_string()),
        source("90-servers.json", &servers(world).to_string()),
    ]
}

/// Returns the data centres, each in a region of its own.
fn places(shape: Size) -> Value {
    let place = |name: &&str| {
        let region = name.trim_end_matches("-a");
        ((*name).to_owned(), json!({ "region": region, "transfer_price": TRANSFER_PRICE }))
    };
    json!({ "data_centres": shape.data_centres.iter().map(place).collect::<Map<_, _>>() })
}

fn source(name: &str, text: &str) -> Source {
    Source { name: name.into(), text: text.into() }
}

fn servers(world: &Deployment) -> Value {
    let mut servers = Map::new();
    for (at, named) in world.engines.iter().enumerate() {
        let server = json!({
            "address": named.engine.address(),
            "data_centre": &*named.data_centre,
            "slots": ENGINE_SLOTS,
            "models": ["draft-large", "draft-small"],
            "checks_fencing": at % 2 == 0,
        });
        servers.insert(named.id.to_string(), server);
    }
    servers.insert("grant-portal-1".to_owned(), portal(world));
    json!({ "servers": servers })
}

fn portal(world: &Deployment) -> Value {
    json!({
        "address": world.service.address(),
        "data_centre": world.shape.data_centres[0],
        "slots": SERVICE_SLOTS,
        "services": ["grant-portal"],
    })
}
