//! Reading of TOML tables field by field, with a finding for each fault.
//!
//! A derived deserializer stops at the first fault; this reader continues with a
//! default value, so that all faults of a file are reported together.

use std::ops::Range;

use serde_spanned::Spanned;
use toml::de::{DeTable, DeValue};

use crate::finding::{Report, closest};
use crate::time::Ms;

/// One table of a file.
#[derive(Clone, Debug)]
pub struct Section<'a> {
    table: &'a DeTable<'a>,
    span: Range<usize>,
    base: usize,
    what: &'static str,
}

/// Parses a file or a part of it; syntax errors become findings.
pub fn parse<'a>(report: &mut Report<'_>, text: &'a str) -> Spanned<DeTable<'a>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let offset = error.span().map_or(0, |s| s.start);
        report.add(
            offset,
            "E001",
            format_args!("TOML syntax: {}", error.message()),
            "correct the syntax; later findings may be consequences of this one",
        );
    }
    table
}

impl<'a> Section<'a> {
    /// The top table of a file, or of a part of a file that starts at byte `base`.
    pub fn top(
        report: &mut Report<'_>,
        table: &'a DeTable<'a>,
        base: usize,
        what: &'static str,
        known: &[&str],
    ) -> Self {
        Self::new(report, table, 0..0, base, what, known)
    }

    /// A table of which only the fields `known` may be used.
    fn new(
        report: &mut Report<'_>,
        table: &'a DeTable<'a>,
        span: Range<usize>,
        base: usize,
        what: &'static str,
        known: &[&str],
    ) -> Self {
        for key in table.keys() {
            let name = key.get_ref().as_ref();
            if !known.contains(&name) {
                let remedy = match closest(name, known.iter().copied()) {
                    Some(near) => format!("write `{near}`"),
                    None => format!("remove it; known fields are {}", known.join(", ")),
                };
                let message = format!("unknown field `{name}` in {what}");
                report.add(base + key.span().start, "E002", message, remedy);
            }
        }
        Self { table, span, base, what }
    }

    /// Byte offset of the table.
    pub fn offset(&self) -> usize {
        self.base + self.span.start
    }

    fn place(&self, span: &Range<usize>) -> Range<usize> {
        self.base + span.start..self.base + span.end
    }

    /// Whether the field is present.
    pub fn has(&self, field: &str) -> bool {
        self.table.contains_key(field)
    }

    /// The span of a field's value, or of the table if the field is absent.
    pub fn at(&self, field: &str) -> usize {
        self.value(field).map_or(self.offset(), |v| self.place(&v.span()).start)
    }

    fn value(&self, field: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table.get(field)
    }

    fn missing(&self, report: &mut Report<'_>, field: &str) {
        report.add(
            self.offset(),
            "E003",
            format_args!("`{field}` is missing in {}", self.what),
            format_args!("add `{field} = ...`"),
        );
    }

    fn read<T>(
        &self,
        report: &mut Report<'_>,
        field: &str,
        expected: &str,
        parse: impl FnOnce(&'a DeValue<'a>) -> Option<T>,
    ) -> Option<Spanned<T>> {
        let value = self.value(field)?;
        let parsed = parse(value.get_ref());
        if parsed.is_none() {
            report.add(
                self.place(&value.span()).start,
                "E004",
                format_args!("`{field}` of {} must be {expected}", self.what),
                format_args!("replace the {} by {expected}", value.get_ref().type_str()),
            );
        }
        parsed.map(|p| Spanned::new(self.place(&value.span()), p))
    }

    fn require<T: Default>(
        &self,
        report: &mut Report<'_>,
        field: &str,
        got: Option<Spanned<T>>,
    ) -> Spanned<T> {
        got.unwrap_or_else(|| {
            if !self.has(field) {
                self.missing(report, field);
            }
            self.absent(T::default())
        })
    }

    /// A value that the file does not give; its span is empty, see [`given`].
    pub fn absent<T>(&self, value: T) -> Spanned<T> {
        Spanned::new(self.offset()..self.offset(), value)
    }

    /// An optional text.
    pub fn opt_text(&self, report: &mut Report<'_>, field: &str) -> Option<Spanned<String>> {
        self.read(report, field, "a text", |v| v.as_str().map(str::to_owned))
    }

    /// A text that must be present.
    pub fn text(&self, report: &mut Report<'_>, field: &str) -> Spanned<String> {
        let got = self.opt_text(report, field);
        self.require(report, field, got)
    }

    /// An optional whole number from 0.
    pub fn opt_count(&self, report: &mut Report<'_>, field: &str) -> Option<Spanned<u64>> {
        self.read(report, field, "a whole number from 0", |v| {
            let n = v.as_integer()?;
            u64::from_str_radix(n.as_str(), n.radix()).ok()
        })
    }

    /// A whole number from 0 that must be present.
    pub fn count(&self, report: &mut Report<'_>, field: &str) -> Spanned<u64> {
        let got = self.opt_count(report, field);
        self.require(report, field, got)
    }

    /// An optional finite number.
    pub fn opt_number(&self, report: &mut Report<'_>, field: &str) -> Option<Spanned<f64>> {
        self.read(report, field, "a number", |v| {
            let text = match v {
                DeValue::Float(f) => f.as_str(),
                DeValue::Integer(n) if n.radix() == 10 => n.as_str(),
                _ => return None,
            };
            text.parse().ok().filter(|f: &f64| f.is_finite())
        })
    }

    /// A finite number that must be present.
    pub fn number(&self, report: &mut Report<'_>, field: &str) -> Spanned<f64> {
        let got = self.opt_number(report, field);
        self.require(report, field, got)
    }

    /// A flag, `default` if it is absent.
    pub fn flag(&self, report: &mut Report<'_>, field: &str, default: bool) -> bool {
        let got = self.read(report, field, "true or false", DeValue::as_bool);
        got.map_or(default, Spanned::into_inner)
    }

    /// An optional duration such as `"250ms"`, `"5s"`, `"10m"`, `"1h"` or `"30d"`.
    pub fn opt_duration(&self, report: &mut Report<'_>, field: &str) -> Option<Spanned<Ms>> {
        self.read(report, field, "a duration such as \"250ms\", \"5s\", \"1h\" or \"30d\"", |v| {
            v.as_str().and_then(duration)
        })
    }

    /// A duration that must be present.
    pub fn duration(&self, report: &mut Report<'_>, field: &str) -> Spanned<Ms> {
        let got = self.opt_duration(report, field);
        self.require(report, field, got)
    }

    /// A list of texts, empty if it is absent.
    pub fn texts(&self, report: &mut Report<'_>, field: &str) -> Vec<Spanned<String>> {
        let got = self.read(report, field, "a list of texts", |v| {
            let item = |v: &Spanned<DeValue<'_>>| {
                v.get_ref().as_str().map(|t| Spanned::new(self.place(&v.span()), t.to_owned()))
            };
            v.as_array()?.iter().map(item).collect::<Option<Vec<_>>>()
        });
        got.map(Spanned::into_inner).unwrap_or_default()
    }

    /// A table within this one.
    pub fn section(
        &self,
        report: &mut Report<'_>,
        field: &str,
        what: &'static str,
        known: &[&str],
    ) -> Option<Section<'a>> {
        let got = self.read(report, field, "a table", DeValue::as_table)?;
        let span = self.value(field)?.span();
        Some(Section::new(report, got.get_ref(), span, self.base, what, known))
    }

    /// The entries of an array of tables, empty if it is absent.
    pub fn sections(
        &self,
        report: &mut Report<'_>,
        field: &str,
        what: &'static str,
        known: &[&str],
    ) -> Vec<Section<'a>> {
        let expected = format!("an array of tables, written [[{field}]]");
        let Some(list) = self.read(report, field, &expected, |v| {
            let items = v.as_array()?.iter();
            items.map(|v| Some((v.get_ref().as_table()?, v.span()))).collect::<Option<Vec<_>>>()
        }) else {
            return Vec::new();
        };
        let section = |(t, span)| Section::new(report, t, span, self.base, what, known);
        list.into_inner().into_iter().map(section).collect()
    }
}

/// Whether the file gives this value in a usable form. Otherwise it is a default, or
/// there is a finding on it already.
pub fn given<T>(value: &Spanned<T>) -> bool {
    !value.span().is_empty()
}

/// Parses a duration with its unit.
pub fn duration(text: &str) -> Option<Ms> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let n: u64 = text[..split].parse().ok()?;
    let unit = match &text[split..] {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    n.checked_mul(unit).map(Ms)
}
