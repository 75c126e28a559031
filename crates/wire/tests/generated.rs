//! The committed code must match the schema in `proto/*.proto`.
//!
//! To update the code after a schema change, run this test with
//! `PARSLEYLATCH_REGENERATE=1`.

use std::{env, fs, path::Path};

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out_dir = env::temp_dir().join(format!("parsleylatch-wire-{}", std::process::id()));
    fs::create_dir_all(&out_dir).unwrap();
    let descriptors = protox::compile(["peer.proto", "moves.proto"], [root.join("proto")]).unwrap();
    prost_build::Config::new()
        .out_dir(&out_dir)
        .compile_fds(descriptors)
        .unwrap();
    for name in ["peer", "journal", "gossip", "moves", "relay"] {
        let file = format!("parsleylatch.{name}.rs");
        let regenerated = fs::read_to_string(out_dir.join(&file)).unwrap();
        let committed = root.join("src/generated").join(&file);
        if env::var_os("PARSLEYLATCH_REGENERATE").is_some() {
            fs::write(&committed, &regenerated).unwrap();
        }
        assert_eq!(
            fs::read_to_string(&committed).unwrap(),
            regenerated,
            "{file} does not match the schema"
        );
    }
    fs::remove_dir_all(&out_dir).unwrap();
}
