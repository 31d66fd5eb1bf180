//! Source files of the demo's configuration: the example configuration and generated files with the
//! data centres and servers of the deployment.

use {
    super::{Deployment, ENGINE_SLOTS, Size},
    hawthornmount_core::merge::Source,
    serde_json::{Map, Value, json},
};

const PLACES: &str = include_str!("../../../../examples/config/10-places.jsonc");
const MODELS: &str = include_str!("../../../../examples/config/20-models.jsonc");
const ACCOUNTS: &str = include_str!("../../../../examples/config/30-accounts.jsonc");

/// Price of transferring a megabyte to or from another region, in micro-units.
const TRANSFER_PRICE: u64 = 20_000;
/// Maximum number of concurrent calls of the plain service.
const SERVICE_SLOTS: u32 = 64;

/// Returns the source files in byte order of their names.
pub fn sources(deployment: &Deployment) -> Vec<Source> {
    vec![
        source("10-places.jsonc", PLACES),
        source("20-models.jsonc", MODELS),
        source("30-accounts.jsonc", ACCOUNTS),
        source("40-more-places.json", &data_centres(deployment.size).to_string()),
        source("90-servers.json", &servers(deployment).to_string()),
    ]
}

/// Returns the data centres of a deployment, each in its own region.
fn data_centres(size: Size) -> Value {
    let data_centre = |name: &&str| {
        let region = name.trim_end_matches("-a");
        ((*name).to_owned(), json!({ "region": region, "transfer_price": TRANSFER_PRICE }))
    };
    json!({ "data_centres": size.data_centres.iter().map(data_centre).collect::<Map<_, _>>() })
}

fn source(name: &str, text: &str) -> Source {
    Source { name: name.into(), text: text.into() }
}

fn servers(deployment: &Deployment) -> Value {
    let mut servers = Map::new();
    for (index, named) in deployment.engines.iter().enumerate() {
        let server = json!({
            "address": named.engine.address(),
            "data_centre": &*named.data_centre,
            "slots": ENGINE_SLOTS,
            "models": ["draft-large", "draft-small"],
            // Even indices are the first of the two engines of each data centre, which check them.
            "checks_fencing": index % 2 == 0,
        });
        servers.insert(named.id.to_string(), server);
    }
    servers.insert("grant-portal-1".to_owned(), grant_portal(deployment));
    json!({ "servers": servers })
}

fn grant_portal(deployment: &Deployment) -> Value {
    json!({
        "address": deployment.service.address(),
        "data_centre": deployment.size.data_centres[0],
        "slots": SERVICE_SLOTS,
        "services": ["grant-portal"],
    })
}
