//! Parsing of settings, which goes on after a problem to report all of them at once.

use {
    super::{Error, Problem},
    jsonc_parser::ParseOptions,
    serde::de::DeserializeOwned,
    serde_json::{Map, Value, json},
    std::{fs, path::Path},
};

/// Maximum number of deserialization problems; parsing stops there.
const MAX_PROBLEMS: usize = 64;

/// Function that returns an example of a valid value for the setting with a given name, or null if
/// there is no such setting.
pub type Example = fn(&str) -> Value;

/// Examples and validation of one type of settings.
pub struct Schema<T> {
    /// Returns an example of a valid value for a setting.
    pub example: Example,
    /// Returns every problem in settings whose values have the right types.
    pub check: fn(&T) -> Vec<Problem>,
}

/// Reads settings from a JSON file that may contain comments.
///
/// # Errors
///
/// Returns an error if the file can't be read or its content is not valid settings.
pub fn read<T: DeserializeOwned>(path: &Path, schema: &Schema<T>) -> Result<T, Error> {
    let text =
        fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    parse(&text, schema)
}

/// Parses settings from JSON that may contain comments.
///
/// # Errors
///
/// Returns an error that lists every problem if the text is not valid settings.
pub fn parse<T: DeserializeOwned>(text: &str, schema: &Schema<T>) -> Result<T, Error> {
    let value = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|error| Error::Syntax { message: error.to_string().into() })?;
    let (settings, mut problems) = deserialize_with_examples(value, schema.example);
    problems.extend(settings.iter().flat_map(schema.check));
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(Error::Invalid { problems }),
    }
}

/// Deserializes settings. Invalid values are replaced by examples, so that the rest can be checked;
/// the returned settings may be used only if there are no problems.
fn deserialize_with_examples<T: DeserializeOwned>(
    mut value: Value,
    example: Example,
) -> (Option<T>, Vec<Problem>) {
    let mut problems = Vec::new();
    while problems.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(settings) => return (Some(settings), problems),
            Err(error) => error,
        };
        let path = error.path().to_string();
        let message = error.inner().to_string();
        let Value::Object(fields) = &mut value else {
            problems.push(Problem::new(".", &message, "write an object of settings"));
            break;
        };
        problems.push(replace_invalid(fields, &path, &message, example));
    }
    (None, problems)
}

/// Returns the problem that a deserialization error describes, and removes the invalid field or
/// replaces it by an example, so that deserialization can be tried again.
fn replace_invalid(
    fields: &mut Map<String, Value>,
    path: &str,
    message: &str,
    example: Example,
) -> Problem {
    let is_nested = path.contains('.') && path != ".";
    if message.starts_with("unknown field") && !is_nested {
        let name = quoted_name(message);
        fields.remove(name);
        let known = message.split_once("expected one of").map_or("", |(_, known)| known.trim());
        return Problem::new(name, "unknown setting", &format!("use one of {known}"));
    }
    if message.starts_with("missing field") && !is_nested {
        let name = quoted_name(message);
        let example = example(name);
        let remedy = format!("set it, for example to {example}");
        fields.insert(name.to_owned(), example);
        return Problem::new(name, "missing", &remedy);
    }
    let name = path.split(['.', '[']).next().unwrap_or(path);
    let example = example(name);
    let remedy = format!("write it as in {example}");
    if example.is_null() {
        fields.remove(name);
    } else {
        fields.insert(name.to_owned(), example);
    }
    Problem::new(path, message, &remedy)
}

/// Returns the first name between backticks in an error message.
fn quoted_name(message: &str) -> &str {
    message.split('`').nth(1).unwrap_or_default()
}

/// Returns an example of a valid value for a setting of an instance, or null if there is no such
/// setting.
pub(super) fn example(name: &str) -> Value {
    match name {
        "instance" => json!("attica-a-1"),
        "data_centre" => json!("attica-a"),
        "region" => json!("attica"),
        "listen" => json!("127.0.0.1:8080"),
        "admin" => json!("127.0.0.1:9100"),
        "fleet" => json!("127.0.0.1:7100"),
        "store" => json!(["127.0.0.1:2379"]),
        "instance_list" | "rating" | "weight_store" => json!("127.0.0.1:8500"),
        "fleet_key" => json!("at least sixteen characters"),
        "traffic_threads" => json!(2),
        "drain_ms" => json!(30_000),
        "memory_mb" => json!(260),
        "file_descriptors" => json!(4_100),
        "log" => json!("info"),
        _ => Value::Null,
    }
}
