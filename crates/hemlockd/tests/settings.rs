//! Settings files.
//!
//! Guards against sample files that no longer parse, fields and defaults that differ from the
//! operators' page, and faults that are reported at a wrong place or not at all.

use std::collections::BTreeSet;
use std::fs;

use hemlockd::settings::Settings;
use rstest::rstest;

/// Settings with every object; the comment in each object marks where a test can add a field.
const COMPLETE: &str = r#"{ /*root*/
  "node": "gyor-1", "data_centre": "gyor",
  "data_centres": [{ /*data_centres[]*/ "name": "gyor", "region": "dunantul" }],
  "http_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "platform_address": "127.0.0.1:1",
  "peers": [{ /*peers[]*/ "node": "gyor-2", "data_centre": "gyor", "address": "127.0.0.1:2" }],
  "operator_token_digests": [],
  "log": { /*log*/ "level": "info", "format": "text" },
  "limits": { /*limits*/ "body_bytes_max": 1 },
}"#;

/// Returns the places of the findings of a text, each as `line:column`, in the order of the report.
fn places(text: &str) -> Vec<String> {
    let findings = Settings::parse("bad.jsonc", text).expect_err("the settings are bad");
    findings
        .iter()
        .map(|finding| {
            assert_eq!(finding.place.file, "bad.jsonc");
            format!("{}:{}", finding.place.line, finding.place.column)
        })
        .collect()
}

/// Returns the fields of one object, as the finding about an unknown field lists them.
fn known_fields(object: &str) -> BTreeSet<String> {
    let text = COMPLETE.replace(&format!("/*{object}*/"), r#""no_such_thing": 1,"#);
    let findings = Settings::parse("unknown.jsonc", &text).expect_err("a field is unknown");
    let messages: Vec<_> = findings.iter().map(|f| f.message.as_str()).collect();
    let [message] = messages[..] else {
        panic!("one finding expected, found {messages:?}");
    };
    let (start, list) = message.split_once("the fields are ").expect("a list");
    assert!(start.contains("no_such_thing"), "{message}");
    list.split(", ").map(str::to_owned).collect()
}

/// Returns the fields of one object, as the table of the operators' page lists them.
fn page_fields(object: &str) -> BTreeSet<String> {
    let page = fs::read_to_string("../../docs/operators/settings.md").unwrap();
    page.lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .map(|path| path.rsplit_once('.').unwrap_or(("root", path)))
        .filter(|(parent, _)| *parent == object)
        .map(|(_, field)| field.to_owned())
        .collect()
}

#[rstest]
#[case::root("root")]
#[case::data_centres("data_centres[]")]
#[case::peers("peers[]")]
#[case::log("log")]
#[case::limits("limits")]
fn page_lists_fields(#[case] object: &str) {
    assert_eq!(page_fields(object), known_fields(object));
}

#[test]
fn page_lists_defaults() {
    let page = fs::read_to_string("../../docs/operators/settings.md").unwrap();
    let text = COMPLETE.replace(r#""body_bytes_max": 1"#, "");
    let limits = Settings::parse("whole.jsonc", &text).unwrap().limits;
    let rows = [
        ("body_bytes_max", limits.body_bytes_max as u64),
        ("open_requests_max", limits.open_requests_max as u64),
        ("ticket_valid_ms", limits.ticket_valid_ms),
        ("stop_wait_ms", limits.stop_wait_ms),
        ("region_bytes_per_s", limits.region_bytes_per_s),
    ];
    for (field, default) in rows {
        let row = format!("| `limits.{field}` | no | {default} |");
        assert!(page.contains(&row), "the page lacks {row}");
    }
}

#[rstest]
#[case::kovacsne(["kovacsne-gyor", "kovacsne-pecs", "kovacsne-szeged"])]
#[case::blue_mahoe(["blue-mahoe-montego", "blue-mahoe-savanna", "blue-mahoe-spanish-town"])]
fn parse_samples(#[case] names: [&str; 3]) {
    for name in names {
        let path = format!("../../examples/settings/{name}.jsonc");
        let text = fs::read_to_string(&path).unwrap();
        let settings = Settings::parse(&path, &text).unwrap_or_else(|e| panic!("{e}"));
        assert!(name.ends_with(settings.data_centre.as_str()));
        assert_eq!(settings.topology.data_centres().count(), 3);
        assert_eq!(settings.peers.len(), 3);
    }
}

/// Returns the place of the only occurrence of `part` in `text`, as `line:column`.
fn place_of(part: &str, text: &str) -> String {
    let (before, after) = text.split_once(part).expect("the part is there");
    assert!(!after.contains(part), "{part} stands twice");
    let line = before.lines().count().max(1);
    let column = before.lines().last().unwrap_or_default().len() + 1;
    format!("{line}:{column}")
}

#[rstest]
#[case::empty("", &["1:1"])]
#[case::syntax("{\n  \"node\" \"gyor-1\"\n}", &["2:10"])]
#[case::not_an_object("[]", &["1:1"])]
#[case::nothing_set("{}", &["1:1"; 6])]
#[case::repeated_field(&COMPLETE.replace("/*root*/", "\"node\": \"a\","), &["2:3"])]
fn parse_bad_text(#[case] text: &str, #[case] expected: &[&str]) {
    assert_eq!(places(text), expected);
}

#[rstest]
#[case::unknown_field(&[("/*log*/", "\"levle\": \"info\",")])]
#[case::name(&[("\"gyor-2\"", "\"Gyor 2\"")])]
#[case::address(&[("\"127.0.0.1:1\"", "\"platform\"")])]
#[case::digest(&[("],\n  \"log\"", "\"ab\"],\n  \"log\"")])]
#[case::level(&[("\"info\"", "\"info=loud=loud\"")])]
#[case::format(&[("\"text\"", "\"xml\"")])]
#[case::limit_too_high(&[("1 },\n}", "1000001 },\n}")])]
#[case::limit_negative(&[("1 },\n}", "-1 },\n}")])]
#[case::data_centre(&[("\"gyor\",\n", "\"pecs\",\n")])]
#[case::several(&[
    ("\"gyor-2\"", "22222"),
    ("\"text\"", "\"xml\""),
    ("/*limits*/", "\"stop_wait\": 1,"),
])]
fn parse_bad_parts(#[case] changes: &[(&str, &str)]) {
    let text = changes
        .iter()
        .fold(COMPLETE.to_owned(), |text, (good, bad)| {
            assert_eq!(text.matches(good).count(), 1, "{good}");
            text.replace(good, bad)
        });
    let expected: Vec<_> = changes
        .iter()
        .map(|(_, bad)| place_of(bad, &text))
        .collect();
    assert_eq!(places(&text), expected);
}

#[test]
fn parse_whole() {
    let settings = Settings::parse("whole.jsonc", COMPLETE).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(settings.limits.body_bytes_max, 1);
}
