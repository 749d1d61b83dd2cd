//! Limits on the size of the scheduler's source files, so that each can be reviewed at once, and on their head
//! comments.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_LINES: usize = 400;
const MAX_COLUMNS: usize = 110;

/// The source files of the scheduler, without tests.
fn files() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let entries = fs::read_dir(root.join("rules")).unwrap().map(|entry| entry.unwrap().path());
    let mut files: Vec<PathBuf> =
        entries.filter(|path| path.extension().is_some_and(|it| it == "rs")).collect();
    files.extend([root.join("rules.rs"), root.join("quantity.rs")]);
    assert!(files.len() > 10, "{files:?}");
    files
}

#[test]
fn each_file_is_within_the_line_limit() {
    for file in files() {
        let text = fs::read_to_string(&file).unwrap();
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{}: {lines} lines that are not blank", file.display());
    }
}

#[test]
fn each_line_is_within_the_column_limit() {
    for file in files() {
        let text = fs::read_to_string(&file).unwrap();
        let wide = text.lines().position(|line| line.chars().count() > MAX_COLUMNS);
        assert!(wide.is_none(), "{}: line {:?} is too wide", file.display(), wide.map(|line| line + 1));
    }
}

#[test]
fn each_file_begins_with_a_module_comment() {
    for file in files() {
        assert!(fs::read_to_string(&file).unwrap().starts_with("//! "), "{}", file.display());
    }
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/rules.rs");
    let text = fs::read_to_string(root).unwrap();
    assert!(
        text.lines().take(3).any(|line| line.contains("src/interface.rs")),
        "its interface is named in the first lines"
    );
}
