//! Withdraws an API key by a minimal edit of the document's text.

use crate::config_check::check_document;
use crate::error::{Error, Result};
use crate::finding::Report;
use crate::toml_fields::parse;

/// Sets `withdrawn = true` on a key and leaves the rest of the text as it is. Returns
/// `None` if the key is withdrawn already.
///
/// The document may contain invalid fields, but its syntax must be valid.
///
/// # Errors
/// Fails if the syntax is invalid, no key has this id or the form of the entry is not
/// supported.
pub fn withdraw_key(source: &str, text: &str, id: &str) -> Result<Option<String>> {
    let mut report = Report::new(source, text);
    let tree = parse(&mut report, text);
    if let Some(f) = report.into_findings().into_iter().next() {
        return Err(Error::Input(f.place, f.message));
    }
    let keys = tree.get_ref().get("key").and_then(|k| k.get_ref().as_array());
    let mut keys = keys.into_iter().flat_map(|k| k.iter()).filter_map(|k| k.get_ref().as_table());
    let entry = keys.find_map(|k| {
        let value = k.get("id")?;
        (value.get_ref().as_str() == Some(id)).then(|| (value.span(), k.get("withdrawn")))
    });
    let Some((id_span, flag)) = entry else {
        return Err(Error::input(source, format!("no key has the id `{id}`")));
    };
    let edited = match flag {
        Some(flag) if flag.get_ref().as_bool() == Some(true) => return Ok(None),
        Some(flag) => replace_range(text, flag.span(), "true"),
        None => {
            let line_start = text[..id_span.start].rfind('\n').map_or(0, |i| i + 1);
            let indent: String =
                text[line_start..].chars().take_while(|c| matches!(c, ' ' | '\t')).collect();
            let starts_line = text[line_start + indent.len()..id_span.start].starts_with("id");
            let line_end = text[id_span.end..].find('\n').map_or(text.len(), |i| id_span.end + i);
            // In an inline table the new field follows the id after a comma; otherwise it
            // goes on a line of its own.
            let inline =
                !starts_line || text[id_span.end..line_end].trim_start().starts_with([',', '}']);
            if inline {
                replace_range(text, id_span.end..id_span.end, ", withdrawn = true")
            } else {
                let line_end = line_end - usize::from(text[..line_end].ends_with('\r'));
                let newline = if text[line_end..].starts_with('\r') { "\r\n" } else { "\n" };
                replace_range(
                    text,
                    line_end..line_end,
                    &format!("{newline}{indent}withdrawn = true"),
                )
            }
        }
    };
    // Parses the result to verify the edit, whatever the form of the entry.
    let mut report = Report::new(source, &edited);
    let tree = parse(&mut report, &edited);
    let keys = tree.get_ref().get("key").and_then(|k| k.get_ref().as_array());
    let is_withdrawn =
        keys.into_iter().flat_map(|k| k.iter()).filter_map(|k| k.get_ref().as_table()).any(|k| {
            k.get("id").and_then(|v| v.get_ref().as_str()) == Some(id)
                && k.get("withdrawn").and_then(|v| v.get_ref().as_bool()) == Some(true)
        });
    if !is_withdrawn || !report.into_findings().is_empty() {
        let reason =
            format!("cannot edit this form of the entry; set `withdrawn = true` on `{id}`");
        return Err(Error::input(source, reason));
    }
    Ok(Some(edited))
}

/// Whether the text is a document without errors.
pub fn is_acceptable(source: &str, text: &str) -> bool {
    check_document(source, text).accepted()
}

fn replace_range(text: &str, range: std::ops::Range<usize>, new: &str) -> String {
    format!("{}{new}{}", &text[..range.start], &text[range.end..])
}
