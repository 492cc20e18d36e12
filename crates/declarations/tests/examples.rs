//! Checks that the example declarations and those in the operators' manual are valid.

use std::fs;
use std::path::Path;

use declarations::{SourceFile, parse_files};
use model::prelude::*;
use rstest::rstest;

fn read_folder(folder: &str) -> Vec<SourceFile> {
    let path = Path::new("../../examples").join(folder);
    let mut files: Vec<SourceFile> = fs::read_dir(path)
        .unwrap()
        .map(|entry| {
            let path = entry.unwrap().path();
            SourceFile {
                name: path.file_name().unwrap().to_string_lossy().into_owned(),
                text: fs::read_to_string(&path).unwrap(),
            }
        })
        .collect();
    files.sort_by(|a, b| a.name.cmp(&b.name));
    files
}

#[rstest]
#[case::kovacsne("kovacsne", 4, "leak-report")]
#[case::blue_mahoe("blue-mahoe", 4, "spot-check")]
fn parse_files_example(#[case] folder: &str, #[case] organisations: usize, #[case] urgent: &str) {
    let set = parse_files(&read_folder(folder)).unwrap().value;
    assert_eq!(set.organisations.len(), organisations);
    for organisation in set.organisations.values() {
        assert_eq!(organisation.classes.len(), set.classes.len());
    }
    let class = &set.classes[&ClassName::try_from(urgent).unwrap()];
    assert_eq!(class.urgency, Urgency::Urgent);
    assert!(class.is_short());
}

#[test]
fn parse_files_operators_page() {
    let page = fs::read_to_string("../../docs/operators/declarations.md").unwrap();
    let examples: Vec<SourceFile> = page
        .split("```jsonc\n")
        .skip(1)
        .zip(1..)
        .map(|(rest, number)| SourceFile {
            name: format!("example {number}"),
            text: rest.split("```").next().unwrap_or_default().to_owned(),
        })
        .collect();
    assert!(!examples.is_empty());
    parse_files(&examples).unwrap();
}
