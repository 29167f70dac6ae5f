//! Finds the known name most similar to a mistyped one.

use compact_str::CompactString;

/// Returns the candidate most similar to `word`, or `None` when no candidate is similar.
pub(crate) fn nearest<'a>(
    word: &str,
    candidates: impl Iterator<Item = &'a str>,
) -> Option<CompactString> {
    let word = word.to_lowercase();
    let ranked = candidates.map(|c| (edit_distance(&word, &c.to_lowercase()), c));
    let (distance, best) = ranked.min()?;
    let shares_start = best.len() > 2 && (best.starts_with(&word) || word.starts_with(best));
    let limit = 1 + word.chars().count() / 3;
    (distance <= limit || (shares_start && word.len() > 2)).then(|| best.into())
}

/// Returns the Levenshtein distance of two words: the least number of characters to insert,
/// remove or replace.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(MAX_COMPARED_CHARS).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, c) in a.chars().take(MAX_COMPARED_CHARS).enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, d) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(c != *d);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

/// The number of leading characters that are compared.
const MAX_COMPARED_CHARS: usize = 64;
