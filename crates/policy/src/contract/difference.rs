//! What differs between two contracts.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::contract::RawContract;

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct FieldDifference {
    /// The field's path, for example `classes.finder.deadline_ms`.
    pub place: String,
    /// JSON before, absent for a new field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// JSON after, absent for a removed field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

impl FieldDifference {
    /// Every field that differs, in order of its path.
    pub fn between(before: Option<&RawContract>, after: &RawContract) -> Vec<FieldDifference> {
        let mut old = before.map(flatten_contract).unwrap_or_default();
        let mut differences = Vec::new();
        for (place, value) in flatten_contract(after) {
            let previous = old.remove(&place);
            if previous.as_ref() != Some(&value) {
                differences.push(FieldDifference { place, before: previous, after: Some(value) });
            }
        }
        let removed = old.into_iter().map(|(place, value)| FieldDifference {
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

fn flatten_contract(contract: &RawContract) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let value = serde_json::to_value(contract).unwrap_or(Value::Null);
    flatten_value("", &value, &mut fields);
    fields
}

fn flatten_value(place: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    let below = |name: &str| match place {
        "" => name.to_owned(),
        _ => format!("{place}.{name}"),
    };
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                flatten_value(&below(name), member, fields);
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
