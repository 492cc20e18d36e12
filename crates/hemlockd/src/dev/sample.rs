//! Sample declarations of the deployments.

use declarations::{DeclarationSet, SourceFile, parse_files};

/// Name, file and declarations of each deployment.
const SAMPLES: [(&str, &str, &str); 2] = [
    (
        "kovacsne",
        "examples/kovacsne/declarations.jsonc",
        include_str!("../../../../examples/kovacsne/declarations.jsonc"),
    ),
    (
        "blue-mahoe",
        "examples/blue-mahoe/declarations.jsonc",
        include_str!("../../../../examples/blue-mahoe/declarations.jsonc"),
    ),
];

/// Parses the declarations of a deployment.
///
/// # Errors
///
/// The deployment is unknown, or its declarations have findings.
pub(super) fn declarations(deployment: &str) -> Result<DeclarationSet, String> {
    let Some((_, name, text)) = SAMPLES.iter().find(|(name, _, _)| *name == deployment) else {
        return Err(format!("there is no deployment {deployment:?}"));
    };
    let file = SourceFile {
        name: (*name).to_owned(),
        text: (*text).to_owned(),
    };
    parse_files(&[file])
        .map(|located| located.value)
        .map_err(|findings| findings.to_string())
}

/// Returns the name of the urgent class of a deployment.
pub(super) fn urgent_class(deployment: &str) -> &'static str {
    match deployment {
        "blue-mahoe" => "spot-check",
        _ => "leak-report",
    }
}
