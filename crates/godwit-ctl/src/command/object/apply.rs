//! `godwitctl apply`: writes a configuration object if its version is unchanged since it was read.

use godwit_schema::platform::ObjectReply;

use crate::edit;
use crate::error::CtlError;
use crate::store::Store;

/// Writes the object in the file at `path`, which has the format that `get` prints; `-` reads standard input. Version 0
/// creates the object.
pub(crate) fn run(store: &Store, path: &str) -> Result<(), CtlError> {
    let text = if path == "-" {
        std::io::read_to_string(std::io::stdin())?
    } else {
        std::fs::read_to_string(path)?
    };
    let object: ObjectReply = serde_json::from_str(&text)?;
    edit::write_and_report(store, &object.name, object.version, &object.value)
}
