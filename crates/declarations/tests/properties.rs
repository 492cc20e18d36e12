//! Property tests of parsing, differences, loading and reverts over generated inputs.

mod support;

use declarations::{
    AcceptedRevision, DeclarationSet, Edit, EditorStep, MANIFEST_KEY, Offer, Replica, SourceFile,
    edits_between, parse_files, plan_revert,
};
use model::prelude::*;
use proptest::prelude::*;
use support::{MemoryStore, load, put, request, run_change, set_of};

fn edit() -> impl Strategy<Value = Edit> {
    let name = prop::sample::select(vec!["trials", "desks", "rosters", "kitchens"]);
    (name, 0..4_u32).prop_map(|(name, accelerators)| match accelerators {
        0 => Edit::Delete(put(name, 0).key()),
        _ => put(name, accelerators),
    })
}

/// Builds text from fragments that occur in declaration files, so that many inputs are nearly
/// valid.
fn source_text() -> impl Strategy<Value = String> {
    let fragment = prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"",
        "\"organisations\"",
        "\"name\"",
        "\"quota\"",
        "\"accelerators\"",
        "\"limits\"",
        "\"classes\"",
        "\"guarantees\"",
        "\"level\"",
        "1",
        "-1",
        "1e99",
        "null",
        "true",
        "// x\n",
        "/* y",
        "*/",
        "é",
        "\u{0}",
        "\n",
    ]);
    prop::collection::vec(fragment, 0..60).prop_map(|fragments| fragments.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parse_files_any_text(text in prop_oneof![any::<String>(), source_text()]) {
        let file = SourceFile { name: "any.jsonc".to_owned(), text };
        if let Err(findings) = parse_files(&[file]) {
            prop_assert!(!findings.is_empty());
        }
    }

    #[test]
    fn edits_between_any_sets(
        before in prop::collection::vec(edit(), 0..8),
        after in prop::collection::vec(edit(), 0..8),
    ) {
        let mut set = set_of(&before);
        let wanted = set_of(&after);
        for edit in edits_between(&set, &wanted) {
            match edit {
                Edit::Put(value) => set.put(value),
                Edit::Delete(key) => set.remove(&key),
            }
        }
        prop_assert_eq!(set, wanted);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Checks, over a history that fills several manifests, that every reader ends at the same
    /// configuration: one that reads everything, one that starts from an old revision and one that
    /// applies a peer's deltas.
    #[test]
    fn load_any_history(changes in prop::collection::vec(edit(), 1..400), stale_at in 0..400_usize) {
        let mut store = MemoryStore::default();
        let mut known = AcceptedRevision::default();
        let mut expected = DeclarationSet::default();
        let mut stale = AcceptedRevision::default();
        let mut peer = Replica::new();
        for (index, edit) in changes.iter().enumerate() {
            let change = request(index as u64 + 1, None, vec![edit.clone()]);
            let (step, read) = run_change(&mut store, known, change);
            prop_assert!(matches!(step, EditorStep::Done(_)));
            match edit {
                Edit::Put(value) => expected.put(value.clone()),
                Edit::Delete(key) => expected.remove(key),
            }
            known = load(&mut store, read);
            if index == stale_at {
                stale = known.clone();
            }
            let mut replica = Replica::new();
            replica.offer(0, Offer::Full(Box::new(known.clone())));
            if let Some(offer) = replica.offer_for(peer.revision()) {
                peer.offer(0, offer);
            }
        }
        prop_assert_eq!(&known.set, &expected);
        prop_assert_eq!(&load(&mut store, AcceptedRevision::default()), &known);
        prop_assert_eq!(&load(&mut store, stale), &known);
        prop_assert_eq!(peer.accepted(), Some(&known));
        prop_assert!(store.len_bytes(MANIFEST_KEY) < 20_000);
    }

    /// Checks that a revert restores exactly the configuration of the earlier revision.
    #[test]
    fn plan_revert_any_history(changes in prop::collection::vec(edit(), 2..30), to in 1..30_u64) {
        let mut store = MemoryStore::default();
        let mut known = AcceptedRevision::default();
        let mut sets = vec![DeclarationSet::default()];
        for (index, edit) in changes.iter().enumerate() {
            let change = request(index as u64 + 1, None, vec![edit.clone()]);
            run_change(&mut store, known.clone(), change);
            let before = known.revision;
            known = load(&mut store, known);
            if known.revision > before {
                sets.push(known.set.clone());
            }
        }
        let Ok(plan) = plan_revert(&known, Revision(to)) else {
            prop_assert!(to >= known.revision.0);
            return Ok(());
        };
        let entries = store.read(&plan.keys());
        let edits = plan.edits(&entries).expect("contents are kept");
        run_change(&mut store, known.clone(), request(1_000, None, edits));
        let reverted = load(&mut store, known);
        let index = usize::try_from(to).expect("small");
        prop_assert_eq!(&reverted.set, &sets[index]);
    }
}
