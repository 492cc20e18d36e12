//! Suggestions for misspelt names.

/// Smallest Jaro-Winkler similarity of a suggestion, from 0 to 1.
const SIMILARITY_MIN: f64 = 0.7;

/// Finds the candidate most similar to `given`, if any is similar enough.
pub fn find_nearest<'a>(
    given: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    candidates
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(given, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= SIMILARITY_MIN)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

/// Builds a text that suggests the most similar candidate; empty if there is none.
pub fn suggest<'a>(given: &str, candidates: impl IntoIterator<Item = &'a str>) -> String {
    match find_nearest(given, candidates) {
        Some(nearest) => format!("; did you mean {nearest:?}?"),
        None => String::new(),
    }
}
