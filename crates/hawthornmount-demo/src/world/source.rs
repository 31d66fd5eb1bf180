//! Files of the demo's configuration: the example folder and one with the started servers.

use {
    super::{ENGINE_SLOTS, World},
    hawthornmount_core::merge::Source,
    serde_json::{Map, Value, json},
    std::net::SocketAddr,
};

const PLACES: &str = include_str!("../../../../examples/config/10-places.jsonc");
const MODELS: &str = include_str!("../../../../examples/config/20-models.jsonc");
const ACCOUNTS: &str = include_str!("../../../../examples/config/30-accounts.jsonc");

/// Calls that the plain service runs at a time.
const SERVICE_SLOTS: u32 = 64;

/// Returns the files in byte order of their names.
pub fn sources(world: &World) -> Vec<Source> {
    vec![
        source("10-places.jsonc", PLACES),
        source("20-models.jsonc", MODELS),
        source("30-accounts.jsonc", ACCOUNTS),
        source("90-servers.json", &servers(world).to_string()),
    ]
}

fn source(name: &str, text: &str) -> Source {
    Source { name: name.into(), text: text.into() }
}

fn servers(world: &World) -> Value {
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
    servers.insert("grant-portal-1".to_owned(), portal(world.service.address()));
    json!({ "servers": servers })
}

fn portal(address: SocketAddr) -> Value {
    json!({
        "address": address,
        "data_centre": super::DATA_CENTRES[0],
        "slots": SERVICE_SLOTS,
        "services": ["grant-portal"],
    })
}
