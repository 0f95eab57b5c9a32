//! Checks that documentation pages agree with the code.

use std::path::Path;

use sycamorefork::denial::REASONS;
use sycamorefork::metrics::METRICS;

const OPERATIONS_PAGE: &str = include_str!("../docs/OPERATIONS.md");

// Guards against a metric or refusal reason that is missing from the operators' page.
#[test]
fn operators_page_lists_every_metric_and_refusal() {
    for m in METRICS {
        let tags = if m.tags.is_empty() { "-".to_owned() } else { m.tags.join(", ") };
        let row = format!("| `{}` | {} | {} | {tags} | {} |", m.name, m.kind, m.unit, m.meaning);
        assert!(OPERATIONS_PAGE.lines().any(|l| l == row), "docs/OPERATIONS.md lacks: {row}");
    }
    for r in REASONS {
        let row = format!("| `{}` | {} |", r.code(), r.status().as_u16());
        assert!(OPERATIONS_PAGE.contains(&row), "docs/OPERATIONS.md lacks: {row}");
    }
}

// Guards against references to tests, benches or modules that do not exist.
#[test]
fn requirements_page_names_existing_evidence() {
    let page = include_str!("../docs/requirements.md");
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut test_count = 0;
    for word in page.split('`').skip(1).step_by(2) {
        let (file, test) = word.split_once("::").map_or((word, None), |(f, t)| (f, Some(t)));
        let path = match file.split_once('/') {
            Some(("tests" | "benches" | "src" | "standin" | "docs", _)) => root.join(file),
            _ => continue,
        };
        let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{word}: {e}"));
        if let Some(test) = test {
            test_count += 1;
            assert!(text.contains(&format!("fn {test}(")), "{word} does not exist");
        }
    }
    assert!(test_count > 20, "the page refers to only {test_count} tests");
}
