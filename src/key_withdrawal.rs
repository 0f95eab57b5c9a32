//! Withdrawing a key by a minimal edit of the document's text.

use crate::config_check::check_document;
use crate::error::{Error, Result};
use crate::finding::Report;
use crate::toml_fields::parse;

/// Marks a key as withdrawn and leaves everything else as it is.
///
/// The document may contain errors elsewhere, but its syntax must be valid. `None`
/// means that the key is withdrawn already.
///
/// # Errors
/// The syntax is wrong, or no key has this id.
pub fn withdraw_key(source: &str, text: &str, id: &str) -> Result<Option<String>> {
    let mut report = Report::new(source, text);
    let tree = parse(&mut report, text);
    if let Some(f) = report.into_findings().into_iter().next() {
        return Err(Error::Input(f.place, f.message));
    }
    let keys = tree.get_ref().get("key").and_then(|k| k.get_ref().as_array());
    let mut keys = keys.into_iter().flat_map(|k| k.iter()).filter_map(|k| k.get_ref().as_table());
    let found = keys.find_map(|k| {
        let value = k.get("id")?;
        (value.get_ref().as_str() == Some(id)).then(|| (value.span(), k.get("withdrawn")))
    });
    let Some((id_span, flag)) = found else {
        return Err(Error::input(source, format!("no key has the id `{id}`")));
    };
    let edited = match flag {
        Some(flag) if flag.get_ref().as_bool() == Some(true) => return Ok(None),
        Some(flag) => splice(text, flag.span(), "true"),
        None => {
            let line = text[..id_span.start].rfind('\n').map_or(0, |i| i + 1);
            let indent: String =
                text[line..].chars().take_while(|c| matches!(c, ' ' | '\t')).collect();
            let own_line = text[line + indent.len()..id_span.start].starts_with("id");
            let end = text[id_span.end..].find('\n').map_or(text.len(), |i| id_span.end + i);
            // An inline table goes on after the id; a comma there would be wrong elsewhere.
            let inline = !own_line || text[id_span.end..end].trim_start().starts_with([',', '}']);
            if inline {
                splice(text, id_span.end..id_span.end, ", withdrawn = true")
            } else {
                let end = end - usize::from(text[..end].ends_with('\r'));
                let newline = if text[end..].starts_with('\r') { "\r\n" } else { "\n" };
                splice(text, end..end, &format!("{newline}{indent}withdrawn = true"))
            }
        }
    };
    // The edit is verified on the result, whatever form the entry had.
    let mut report = Report::new(source, &edited);
    let tree = parse(&mut report, &edited);
    let keys = tree.get_ref().get("key").and_then(|k| k.get_ref().as_array());
    let done =
        keys.into_iter().flat_map(|k| k.iter()).filter_map(|k| k.get_ref().as_table()).any(|k| {
            k.get("id").and_then(|v| v.get_ref().as_str()) == Some(id)
                && k.get("withdrawn").and_then(|v| v.get_ref().as_bool()) == Some(true)
        });
    if !done || !report.into_findings().is_empty() {
        let reason =
            format!("cannot edit this form of the entry; set `withdrawn = true` on `{id}`");
        return Err(Error::input(source, reason));
    }
    Ok(Some(edited))
}

/// Whether the text is an acceptable document, for the hint after an edit.
pub fn is_acceptable(source: &str, text: &str) -> bool {
    check_document(source, text).accepted()
}

fn splice(text: &str, range: std::ops::Range<usize>, new: &str) -> String {
    format!("{}{new}{}", &text[..range.start], &text[range.end..])
}
