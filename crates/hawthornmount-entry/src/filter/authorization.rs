//! Authorization: refuses models and services that the account may not use, and answers requests
//! for the list of its models.

use {
    super::{Filter, Flow},
    crate::{
        answer::{Answer, Content},
        exchange::{Exchange, Kind, ServiceCall},
    },
    async_trait::async_trait,
    hawthornmount_core::{
        config::Account,
        problem::Problem,
        reason::Refusal,
        snapshot::{Release, Snapshot},
    },
    hawthornmount_http::StatusCode,
    hawthornmount_policy::eligibility,
    serde_json::{Value, json},
};

/// Filter that checks what the account may use.
pub struct Authorization;

#[async_trait]
impl Filter for Authorization {
    fn name(&self) -> &'static str {
        "allow"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        let snapshot = exchange.snapshot.clone();
        let account = snapshot
            .config
            .accounts
            .get(&exchange.account)
            .ok_or_else(|| Problem::new(Refusal::BadKey, "the account does not exist"))?;
        match &mut exchange.kind {
            Kind::Completion(completion) => {
                check_model(account, completion.model.as_deref())?;
                Ok(Flow::Next)
            }
            Kind::Service(call) => {
                check_service(&snapshot, account, call)?;
                Ok(Flow::Next)
            }
            Kind::Models => {
                exchange.answer = Some(list_models(&snapshot, &exchange.account, account));
                Ok(Flow::Answered)
            }
        }
    }
}

fn check_model(account: &Account, model: Option<&str>) -> Result<(), Problem> {
    match model {
        Some(model) if account.allow.iter().any(|allowance| *allowance.model == *model) => Ok(()),
        Some(model) => Err(not_allowed(format!(
            "the account has no model {model}: see GET /v1/models for those that it has"
        ))),
        None if account.cascade.is_some() => Ok(()),
        None => Err(not_allowed("the account has no cascade: name a model".to_owned())),
    }
}

/// Checks that the account may use the service, and sets whether the call is idempotent.
fn check_service(
    snapshot: &Snapshot,
    account: &Account,
    call: &mut ServiceCall,
) -> Result<(), Problem> {
    let service = snapshot.config.services.get(&call.service);
    let Some(service) = service.filter(|_| account.services.contains(&call.service)) else {
        return Err(not_allowed(format!("the account has no service {}", call.service)));
    };
    call.idempotent = service.is_idempotent(&call.method, &call.path);
    Ok(())
}

/// Returns the models of the account with the versions that it may use now.
fn list_models(snapshot: &Snapshot, id: &str, account: &Account) -> Answer {
    let data: Vec<Value> = account
        .allow
        .iter()
        .filter_map(|allowance| {
            let model = snapshot.config.models.get(&allowance.model)?;
            let versions: Vec<&str> = model
                .versions
                .iter()
                .map(|version| Release {
                    model: allowance.model.clone(),
                    version: version.id.clone(),
                })
                .filter(|release| eligibility::is_usable(snapshot, id, release))
                .filter_map(|release| model.versions.row(&release.version))
                .map(|version| &*version.id)
                .collect();
            Some(json!({ "id": &*allowance.model, "object": "model", "versions": versions }))
        })
        .collect();
    let body = json!({ "object": "list", "data": data });
    Answer {
        status: StatusCode::OK,
        content_type: "application/json".into(),
        content: Content::Buffered(body.to_string().into()),
    }
}

fn not_allowed(detail: String) -> Problem {
    Problem::new(Refusal::NotAllowed, detail)
}
