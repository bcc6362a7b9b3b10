//! `docs/CAPACITY.md` quotes the comparison of ways of subsetting as `docs/capacity/subsetting` has it.

use serde::Deserialize;
use std::fs;
use std::path::{Path, PathBuf};

const BEGIN: &str = "<!-- subsets: begin -->";
const END: &str = "<!-- subsets: end -->";

/// The part of a record that a table's row is compared with.
#[derive(Deserialize)]
struct Record {
    method: String,
    members: u32,
    subset_size: u32,
    figure: String,
    median: f64,
}

fn read(path: &str) -> String {
    let path: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The rows of figures that the page has between the marks.
fn quoted(page: &str) -> Vec<&str> {
    let (_, after) = page.split_once(BEGIN).expect("the mark before the rows");
    let (between, _) = after.split_once(END).expect("the mark after the rows");
    between.lines().filter(|line| line.starts_with("| ") && line[2..].starts_with(char::is_numeric)).collect()
}

/// The first of the rows that the tables don't have.
fn missing<'a>(rows: &[&'a str], tables: &str) -> Option<&'a str> {
    rows.iter().copied().find(|row| !tables.lines().any(|line| line == *row))
}

#[test]
fn the_page_quotes_rows_of_the_tables_to_the_letter() {
    let page = read("docs/CAPACITY.md");
    let tables = read("docs/capacity/subsetting/tables.md");
    let rows = quoted(&page);
    assert!(rows.len() >= 5, "every method has a row: {rows:?}");
    assert_eq!(missing(&rows, &tables), None);
    let changed = rows[0].replacen("| 8700 |", "| 8701 |", 1);
    assert_eq!(missing(&[&changed], &tables), Some(&*changed));
}

#[test]
fn the_tables_loads_are_those_of_the_records() {
    let figures = read("docs/capacity/subsetting/figures.jsonl");
    let records: Vec<Record> =
        figures.lines().map(|line| serde_json::from_str(line).expect("a record")).collect();
    let tables = read("docs/capacity/subsetting/tables.md");
    let loads: Vec<Vec<&str>> = tables
        .lines()
        .map(|line| line.split('|').map(str::trim).collect::<Vec<_>>())
        .filter(|cells| cells.len() > 10 && cells[1].parse::<u32>().is_ok())
        .collect();
    assert!(loads.len() >= 45, "three sizes, three subsets and five methods: {}", loads.len());
    for cells in loads {
        let (members, subset_size) = (cells[1].parse::<u32>(), cells[2].parse::<u32>());
        let record = records.iter().find(|record| {
            record.figure == "load_even"
                && record.method == cells[3]
                && Ok(record.members) == members
                && Ok(record.subset_size) == subset_size
        });
        let record = record.unwrap_or_else(|| panic!("no record of {cells:?}"));
        let told = cells[4].split(' ').next().expect("the even load");
        assert_eq!(format!("{:.2}", record.median), told, "{cells:?}");
    }
}
