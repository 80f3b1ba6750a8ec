//! Reads and checks the tasks that callers submit.

use ecow::EcoString;
use turmericfold_config::Configuration;
use turmericfold_types::{Reason, RequestError, TaskSpec};

/// Maximum length of a key or kind, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Maximum size of a payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 64 << 10;

/// Reads a task from the body of a request.
///
/// Fails with a list of all faults.
pub(crate) fn read(body: &[u8], configuration: &Configuration) -> Result<TaskSpec, RequestError> {
    let spec: TaskSpec = serde_json::from_slice(body).map_err(|error| {
        let message = ecow::eco_format!("the body is not a task: {error}");
        RequestError::not_run(Reason::BadRequest, message)
    })?;
    let faults = faults(&spec, configuration);
    if faults.is_empty() {
        return Ok(spec);
    }
    let list: Vec<&str> = faults.iter().map(EcoString::as_str).collect();
    Err(RequestError::not_run(Reason::BadRequest, list.join("; ")))
}

fn faults(spec: &TaskSpec, configuration: &Configuration) -> Vec<EcoString> {
    let mut faults = Vec::new();
    if let Some(key) = &spec.key {
        faults.extend(name_fault("key", key));
    }
    faults.extend(name_fault("kind", spec.kind.as_str()));
    if !configuration.services.contains_key(&spec.service) {
        faults.push(ecow::eco_format!("service: no service `{}`", spec.service));
    }
    if !configuration.teams.contains_key(&spec.team) {
        faults.push(ecow::eco_format!("team: no team `{}`", spec.team));
    }
    if spec.resources.cpu_millicores == 0 {
        faults.push("resources.cpu_millicores: must be at least 1".into());
    }
    if spec.resources.memory_bytes == 0 {
        faults.push("resources.memory_bytes: must be at least 1".into());
    }
    if spec.payload.len() > MAX_PAYLOAD_BYTES {
        let length = spec.payload.len();
        let fault = ecow::eco_format!("payload: {length} bytes, at most {MAX_PAYLOAD_BYTES}");
        faults.push(fault);
    }
    faults
}

/// Returns the fault of a name, if any.
///
/// Names become part of paths and store keys, so only plain characters are allowed.
fn name_fault(field: &str, name: &str) -> Option<EcoString> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    let valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(plain);
    (!valid).then(|| {
        ecow::eco_format!(
            "{field}: must be 1 to {MAX_NAME_BYTES} letters, digits, `-` or `_`, not `{name}`"
        )
    })
}
