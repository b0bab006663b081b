//! Builds the fault shim (`shim/faults.c`), a shared library that tests load into a proxy with LD_PRELOAD.

use std::path::PathBuf;
use std::process::Command;

fn main() {
    println!("cargo::rerun-if-changed=shim/faults.c");
    println!("cargo::rerun-if-env-changed=CC");
    let folder = PathBuf::from(std::env::var("OUT_DIR").expect("cargo sets OUT_DIR"));
    let library = folder.join("libfaults.so");
    let compiler = std::env::var("CC").unwrap_or_else(|_| "cc".to_string());
    let built = Command::new(&compiler)
        .args(["-shared", "-fPIC", "-O2", "-Wall", "-Werror", "shim/faults.c", "-ldl", "-lpthread", "-o"])
        .arg(&library)
        .status();
    assert!(built.is_ok_and(|status| status.success()), "{compiler} failed to build shim/faults.c");
    println!("cargo::rustc-env=LINENTRAIL_FAULT_SHIM={}", library.display());
}
