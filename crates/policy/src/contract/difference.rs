//! Differences between two versions of a contract.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::contract::RawContract;

/// A field whose value differs between two versions of a contract.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct FieldDifference {
    /// Path of the field, for example `classes.finder.deadline_ms`.
    pub place: String,
    /// Old value as JSON; absent for a new field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// New value as JSON; absent for a removed field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

impl FieldDifference {
    /// Returns all differing fields, sorted by path.
    pub fn between(before: Option<&RawContract>, after: &RawContract) -> Vec<FieldDifference> {
        let mut old_fields = before.map(flatten_contract).unwrap_or_default();
        let mut differences = Vec::new();
        for (place, value) in flatten_contract(after) {
            let previous = old_fields.remove(&place);
            if previous.as_ref() != Some(&value) {
                differences.push(FieldDifference { place, before: previous, after: Some(value) });
            }
        }
        let removed = old_fields.into_iter().map(|(place, value)| FieldDifference {
            place,
            before: Some(value),
            after: None,
        });
        differences.extend(removed);
        differences.sort_by(|a, b| a.place.cmp(&b.place));
        differences
    }
}

impl fmt::Display for FieldDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.before.as_deref().unwrap_or("(none)");
        let after = self.after.as_deref().unwrap_or("(none)");
        write!(f, "{}: {before} -> {after}", self.place)
    }
}

/// Returns the JSON of every scalar field, by path.
fn flatten_contract(contract: &RawContract) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let value = serde_json::to_value(contract).unwrap_or(Value::Null);
    flatten_value("", &value, &mut fields);
    fields
}

fn flatten_value(place: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    let child_path = |name: &str| match place {
        "" => name.to_owned(),
        _ => format!("{place}.{name}"),
    };
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                flatten_value(&child_path(name), member, fields);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                flatten_value(&format!("{place}[{index}]"), item, fields);
            }
        }
        _ => {
            fields.insert(place.to_owned(), value.to_string());
        }
    }
}
