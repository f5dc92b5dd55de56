//! `godwitctl apply`: writes an object at the version at which it was read.

use godwit_schema::platform::ObjectReply;

use crate::edit;
use crate::error::CtlError;
use crate::store::Store;

/// Applies the file at `path`, in the form that `get` prints; version 0 creates the object.
pub(crate) fn run(store: &Store, path: &str) -> Result<(), CtlError> {
    let text = if path == "-" {
        std::io::read_to_string(std::io::stdin())?
    } else {
        std::fs::read_to_string(path)?
    };
    let object: ObjectReply = serde_json::from_str(&text)?;
    edit::write_and_report(store, &object.name, object.version, &object.value)
}
