//! The documents agree with the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use turmericfold_tests::workspace_root;

fn documents() -> Vec<PathBuf> {
    let root = workspace_root();
    let mut found = Vec::new();
    for folder in [root.clone(), root.join("docs")] {
        let entries = fs::read_dir(folder).unwrap();
        let paths = entries.map(|entry| entry.unwrap().path());
        found.extend(paths.filter(|path| path.extension().is_some_and(|ext| ext == "md")));
    }
    found
}

fn text(path: &Path) -> String {
    fs::read_to_string(path).unwrap()
}

#[test]
fn links_resolve() {
    for document in documents() {
        let content = text(&document);
        for link in content.split("](").skip(1) {
            let target = link.split([')', '#']).next().unwrap_or_default();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            let path = document.parent().unwrap().join(target);
            assert!(path.exists(), "{}: {target}", document.display());
        }
    }
}

#[test]
fn crates_exist() {
    let design = text(&workspace_root().join("docs/DESIGN.md"));
    let names = design.lines().filter_map(|line| {
        let name = line.strip_prefix("| `")?.split('`').next()?;
        name.starts_with("turmericfold").then_some(name)
    });
    for name in names {
        let folder = workspace_root().join("crates").join(name);
        assert!(folder.join("Cargo.toml").exists(), "no crate {name}");
    }
}

/// Returns the first word after a program's name in each command line of the documents.
fn commands_after(program: &str) -> BTreeSet<String> {
    let mut commands = BTreeSet::new();
    for document in documents() {
        let content = text(&document);
        for line in content.lines() {
            let starts = [
                format!("{program} -- "),
                format!("`{program} "),
                format!("$ {program} "),
            ];
            for start in &starts {
                for rest in line.split(start.as_str()).skip(1) {
                    let word = rest.split([' ', '`', ',', '.']).next().unwrap_or_default();
                    commands.insert(word.to_owned());
                }
            }
        }
    }
    commands
}

#[test]
fn measure_commands() {
    for command in commands_after("turmericfold-measure") {
        let parser = turmericfold_measure::args::command();
        let words: &[&str] = &[&command, "--help"];
        let help = parser.run_inner(words).unwrap_err();
        assert!(help.exit_code() == 0, "turmericfold-measure {command}");
    }
}

#[test]
fn product_commands() {
    for command in commands_after("turmericfold") {
        let parser = turmericfold::args::command();
        let words: &[&str] = &[&command, "--help"];
        let help = parser.run_inner(words).unwrap_err();
        assert!(help.exit_code() == 0, "turmericfold {command}");
    }
}

/// Returns `function` and `function::case` for every test in the sources.
fn test_names() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let mut folders = vec![workspace_root().join("tests/features")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else {
                collect_names(&text(&path), &mut names);
            }
        }
    }
    names
}

fn collect_names(source: &str, names: &mut BTreeSet<String>) {
    let mut cases = Vec::new();
    for line in source.lines() {
        let line = line.trim_start();
        if let Some(case) = line.strip_prefix("#[case::") {
            cases.push(case.split('(').next().unwrap_or_default().to_owned());
        }
        let Some((_, rest)) = line.split_once("fn ") else {
            continue;
        };
        let function = rest.split(['(', '<']).next().unwrap_or_default();
        names.extend(cases.drain(..).map(|case| format!("{function}::{case}")));
        names.insert(function.to_owned());
    }
}

#[test]
fn promise_table() {
    let table = text(&workspace_root().join("docs/PROMISES.md"));
    let names = test_names();
    let rows: Vec<Vec<&str>> = table
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| fault"))
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect();
    assert_eq!(rows.len(), 14, "fault classes");
    let mut empty = 0;
    for row in &rows {
        assert_eq!(row.len(), 10, "{row:?}");
        for cell in &row[1..] {
            let test = cell.trim_matches('`');
            empty += usize::from(test.starts_with('-'));
            assert!(test.starts_with('-') || names.contains(test), "{test}");
        }
    }
    let expected = format!("{empty} of {} cells are empty", rows.len() * 9);
    assert!(
        table.contains(&expected),
        "the document must say: {expected}"
    );
    let is_explained = |reason: &str| table.contains(&format!("- {reason}:"));
    for row in &rows {
        let reasons = row[1..].iter().filter_map(|cell| cell.strip_prefix('-'));
        for reason in reasons {
            assert!(is_explained(reason.trim()), "no reason `{reason}`");
        }
    }
}
