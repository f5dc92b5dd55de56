//! Checks that the committed types in `src/generated` are those that the generator makes from `schemas/`.
//!
//! They differ after a schema was changed without regenerating the types, or a generated file was edited by hand.

use std::path::{Path, PathBuf};

use typify::{TypeSpace, TypeSpaceSettings};

const INTERFACES: [&str; 7] =
    ["caller", "config", "engine", "ledger", "operator", "orders", "platform"];

fn generate(schema_path: &Path) -> String {
    let text = std::fs::read_to_string(schema_path).expect("schema is readable");
    let schema: schemars::schema::RootSchema = serde_json::from_str(&text).expect("schema parses");
    let mut settings = TypeSpaceSettings::default();
    settings
        .with_map_type("::std::collections::BTreeMap".to_string())
        .with_derive("PartialEq".to_string());
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(schema).expect("schema is supported");
    let file = syn::parse2::<syn::File>(space.to_stream()).expect("generated code parses");
    format!("//! Generated from `schemas/`.\n{}", prettyplease::unparse(&file))
}

fn generated_path(interface: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("src/generated/{interface}.rs"))
}

#[test]
fn generated_types_match_schemas() {
    for interface in INTERFACES {
        let schema_path =
            Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("schemas/{interface}.json"));
        let generated = generate(&schema_path);
        if std::env::var_os("GODWIT_REGENERATE").is_some() {
            std::fs::write(generated_path(interface), &generated).expect("file is writable");
        }
        let committed =
            std::fs::read_to_string(generated_path(interface)).expect("file is readable");
        assert!(committed == generated, "{interface}: run with GODWIT_REGENERATE=1 and commit");
    }
}
