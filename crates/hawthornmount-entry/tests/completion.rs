//! The body sent to a server is the caller's body with only the model replaced.

use {
    hawthornmount_entry::exchange::Completion,
    rstest::rstest,
    serde_json::{Value, json},
};

struct Case {
    body: &'static str,
    prompt_tokens: u64,
}

#[rstest]
#[case::model_given(Case {
    body: r#"{"model":"draft","messages":[{"role":"user","content":"12345678"}],"top_p":0.5}"#,
    prompt_tokens: 2,
})]
#[case::no_model(Case {
    body: r#"{"messages":[{"content":"1234"},{"content":["part"]},{"content":"1234"}],"n":1}"#,
    prompt_tokens: 2,
})]
#[case::model_given_twice(Case {
    body: r#"{"model":"forbidden","messages":[],"model":"draft"}"#,
    prompt_tokens: 0,
})]
fn only_the_model_is_replaced(#[case] case: Case) {
    let completion = Completion::parse(case.body.as_bytes()).expect("the body is valid");
    assert_eq!(completion.prompt_tokens(), case.prompt_tokens);
    let body = completion.body_for("chosen");
    let text = String::from_utf8(body.to_vec()).expect("the body is text");
    assert_eq!(text.matches("\"model\"").count(), 1, "{text}");
    let mut expected: Value = serde_json::from_str(case.body).expect("the body is JSON");
    expected["model"] = json!("chosen");
    let sent: Value = serde_json::from_str(&text).expect("the body is JSON");
    assert_eq!(sent, expected);
}
