//! Checks of the merged configuration as a whole.

use {super::Config, std::sync::Arc};

/// Something wrong in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Path of the value, as a JSON pointer.
    pub path: Arc<str>,
    /// What is wrong.
    pub what: Arc<str>,
    /// What mends it.
    pub remedy: Arc<str>,
}

/// Returns everything that is wrong in the configuration.
pub fn check(config: &Config) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_models(config, &mut findings);
    check_accounts(config, &mut findings);
    check_servers(config, &mut findings);
    findings
}

fn check_models(config: &Config, findings: &mut Vec<Finding>) {
    for row in &config.models {
        if !row.value.versions.contains(&row.value.stable) {
            findings.push(Finding {
                path: format!("/models/{}/stable", row.id).into(),
                what: format!("version {} does not exist", row.value.stable).into(),
                remedy: "name one of the model's versions".into(),
            });
        }
    }
}

fn check_accounts(config: &Config, findings: &mut Vec<Finding>) {
    for row in &config.accounts {
        for allowance in &row.value.allow {
            if !config.models.contains(&allowance.model) {
                findings.push(Finding {
                    path: format!("/accounts/{}/allow", row.id).into(),
                    what: format!("model {} does not exist", allowance.model).into(),
                    remedy: "add the model or take it from the list".into(),
                });
            }
        }
    }
}

fn check_servers(config: &Config, findings: &mut Vec<Finding>) {
    for row in &config.servers {
        if !config.data_centres.contains(&row.value.data_centre) {
            findings.push(Finding {
                path: format!("/servers/{}/data_centre", row.id).into(),
                what: format!("data centre {} does not exist", row.value.data_centre).into(),
                remedy: "add it under data_centres".into(),
            });
        }
    }
}
