//! The size of the decision module's parts: each is short and narrow enough to be reviewed in one sitting, and says what
//! it decides.

use std::fs;
use std::path::{Path, PathBuf};

const MOST_LINES: usize = 400;
const MOST_COLUMNS: usize = 110;

/// The files of the decision module, less its tests.
fn files() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let parts = fs::read_dir(root.join("rules")).unwrap().map(|entry| entry.unwrap().path());
    let mut files: Vec<PathBuf> =
        parts.filter(|path| path.extension().is_some_and(|it| it == "rs")).collect();
    files.extend([root.join("rules.rs"), root.join("quantity.rs")]);
    assert!(files.len() > 10, "{files:?}");
    files
}

#[test]
fn each_part_is_short_enough() {
    for file in files() {
        let text = fs::read_to_string(&file).unwrap();
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MOST_LINES, "{}: {lines} lines that are not blank", file.display());
    }
}

#[test]
fn its_lines_are_narrow_enough() {
    for file in files() {
        let text = fs::read_to_string(&file).unwrap();
        let wide = text.lines().position(|line| line.chars().count() > MOST_COLUMNS);
        assert!(wide.is_none(), "{}: line {:?} is too wide", file.display(), wide.map(|line| line + 1));
    }
}

#[test]
fn each_part_begins_with_what_it_is_for() {
    for file in files() {
        assert!(fs::read_to_string(&file).unwrap().starts_with("//! "), "{}", file.display());
    }
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/rules.rs");
    let text = fs::read_to_string(root).unwrap();
    assert!(
        text.lines().take(3).any(|line| line.contains("src/interface.rs")),
        "its interface is named first"
    );
}
