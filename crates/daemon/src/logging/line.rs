//! Format of a log line.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::Record;
use log::kv;
use serde_json::Map;
use serde_json::Value;

/// Collects the key-value pairs of a record as JSON.
struct FieldVisitor {
    fields: Map<String, Value>,
}

impl<'kvs> kv::VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.fields.insert(key.to_string(), value);
        Ok(())
    }
}

/// Returns a record as a line of JSON, with the number of lines dropped before it.
pub(crate) fn json_line(vm: &str, record: &Record<'_>, dropped: u64) -> String {
    let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let module = record.target().trim_start_matches("oleanderwind_");
    let mut fields = Map::new();
    fields.insert("at_ms".to_owned(), Value::from(u64::try_from(at_ms).unwrap_or(u64::MAX)));
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("vm".to_owned(), vm.into());
    fields.insert("module".to_owned(), module.into());
    fields.insert("message".to_owned(), record.args().to_string().into());
    if dropped > 0 {
        fields.insert("lines_left_out".to_owned(), dropped.into());
    }
    let mut visitor = FieldVisitor { fields };
    if let Err(error) = record.key_values().visit(&mut visitor) {
        visitor.fields.insert("field_error".to_owned(), error.to_string().into());
    }
    let mut line = Value::Object(visitor.fields).to_string();
    line.push('\n');
    line
}
