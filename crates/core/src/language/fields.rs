//! Conversion between objects and their named fields.
//!
//! The fields of an object are those of its serialised form, without its name and
//! without nesting. A new field of an object is therefore available in the
//! language without further code.

use serde_json::{Map, Value, json};

use super::Literal;
use crate::config::{Kind, Object, ObjectKey};

/// The fields of one object, by name.
pub(super) type Fields = Map<String, Value>;

/// Fields that a backend server has only if it runs the layers of a model.
const LAYER_FIELDS: [&str; 4] = ["model", "version", "layers", "adapters"];

/// Returns the fields of an object.
pub(super) fn object_fields(object: &Object) -> Fields {
    let mut fields = match serde_json::to_value(object) {
        Ok(Value::Object(outer)) => outer.into_iter().next().map(|(_, inner)| inner),
        _ => None,
    };
    let mut fields = match fields.take() {
        Some(Value::Object(fields)) => fields,
        _ => Fields::new(),
    };
    for name in ["id", "from", "to"] {
        fields.remove(name);
    }
    if let Some(Value::Object(carries)) = fields.remove("carries") {
        for (name, value) in carries {
            match value {
                Value::Object(inner) => fields.extend(inner),
                value => drop(fields.insert(name, value)),
            }
        }
    }
    fields
}

/// Creates an object from its fields.
///
/// # Errors
///
/// Returns a message that names the field that is missing, unknown or of the wrong
/// type.
pub(super) fn to_object(key: &ObjectKey, mut fields: Fields) -> Result<Object, String> {
    match key.kind {
        Kind::Link => {
            let ends = key.name.split_once('>');
            let (from, to) = ends.ok_or("a link's name is written FROM>TO")?;
            fields.insert("from".to_owned(), json!(from));
            fields.insert("to".to_owned(), json!(to));
        }
        Kind::Deployment if key.name != "all" => {
            return Err("the deployment's name is `all`".to_owned());
        }
        Kind::Deployment => {}
        Kind::Backend => {
            nest_carries(&mut fields)?;
            fields.insert("id".to_owned(), json!(key.name));
        }
        _ => drop(fields.insert("id".to_owned(), json!(key.name))),
    }
    let object = json!({ key.kind.as_str(): fields });
    serde_json::from_value(object).map_err(|error| error.to_string())
}

fn nest_carries(fields: &mut Fields) -> Result<(), String> {
    let layers: Fields = LAYER_FIELDS
        .iter()
        .filter_map(|name| fields.remove_entry(*name))
        .collect();
    let carries = match fields.remove("service") {
        Some(service) if layers.is_empty() => json!({ "service": service }),
        Some(_) => return Err("a backend server carries layers or a `service`".to_owned()),
        None => json!({ "layers": layers }),
    };
    fields.insert("carries".to_owned(), carries);
    Ok(())
}

/// Converts a literal to the value of a field.
pub(super) fn literal_value(literal: &Literal) -> Value {
    match literal {
        Literal::Text(text) => json!(text),
        Literal::Number(number) => json!(number),
        Literal::Bool(flag) => json!(flag),
        Literal::Layers(start, end) => json!([start, end]),
        Literal::List(items) => json!(items),
    }
}

/// Formats a value as it is written in the language.
pub(super) fn format_value(name: &str, value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(ends) if name == "layers" => {
            let ends: Vec<String> = ends.iter().map(ToString::to_string).collect();
            ends.join("..")
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(|item| format_value(name, item)).collect();
            format!("[{}]", items.join(", "))
        }
        value => value.to_string(),
    }
}
