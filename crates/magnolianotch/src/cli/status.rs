//! `status`: the fleet as a gateway sees it.

use serde_json::Value;

use super::{error::CliError, gateway::GatewayClient, output::CommandOutput};

/// Blanks before each level of an outline.
const INDENT: usize = 2;

/// Shows the status.
pub(super) async fn run(
    client: &GatewayClient,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    let status: Value = client.get(&["operator", "status"]).await?;
    if output.is_json() {
        output.json(&status);
        return Ok(());
    }
    outline(&status, 0, output);
    Ok(())
}

/// A value as lines of `name: value`; each member of a list that is an object makes one line.
fn outline(value: &Value, level: usize, output: &mut CommandOutput) {
    let Value::Object(fields) = value else {
        output.line(&format!("{:1$}{2}", "", level * INDENT, inline(value)));
        return;
    };
    for (name, value) in fields {
        let blank = " ".repeat(level * INDENT);
        match value {
            Value::Array(items) if items.is_empty() => output.line(&format!("{blank}{name}: none")),
            Value::Array(items) => {
                output.line(&format!("{blank}{name}:"));
                for item in items {
                    output.line(&format!("{blank}  {}", inline(item)));
                }
            }
            Value::Object(_) => {
                output.line(&format!("{blank}{name}:"));
                outline(value, level + 1, output);
            }
            value => output.line(&format!("{blank}{name}: {}", inline(value))),
        }
    }
}

/// A value on one line.
fn inline(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| format!("{name} {}", inline(value)));
            fields.collect::<Vec<_>>().join(", ")
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(inline).collect();
            items.join(" ")
        }
        value => value.to_string(),
    }
}
