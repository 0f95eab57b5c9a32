//! Object store with the part of the S3 REST API that the main package uses.

use std::collections::BTreeMap;

use bytes::Bytes;

/// Objects of all buckets, by `BUCKET/NAME`.
#[derive(Debug)]
pub struct ObjectStore {
    objects: BTreeMap<String, Bytes>,
    page_size: usize,
}

impl ObjectStore {
    /// Creates an empty store that lists at most `page_size` names per page.
    pub fn new(page_size: usize) -> Self {
        Self { objects: BTreeMap::new(), page_size }
    }

    /// Number of objects.
    pub fn count(&self) -> usize {
        self.objects.len()
    }

    /// Stores an object; `false` if `create` is set and the object already exists.
    pub fn put(&mut self, path: &str, body: Bytes, create: bool) -> bool {
        if create && self.objects.contains_key(path) {
            return false;
        }
        self.objects.insert(path.to_owned(), body);
        true
    }

    /// Returns an object.
    pub fn get(&self, path: &str) -> Option<Bytes> {
        self.objects.get(path).cloned()
    }

    /// Returns the XML answer to `ListObjectsV2`; `after` is the continuation token.
    pub fn list(&self, bucket: &str, prefix: &str, after: Option<&str>) -> String {
        let from = format!("{bucket}/{prefix}");
        let mut names = Vec::new();
        let mut more = false;
        for path in self.objects.range(from.clone()..).map(|(path, _)| path) {
            if !path.starts_with(&from) {
                break;
            }
            let name = &path[bucket.len() + 1..];
            if after.is_some_and(|after| name <= after) {
                continue;
            }
            if names.len() == self.page_size {
                more = true;
                break;
            }
            names.push(name);
        }
        let mut xml = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n");
        xml.push_str("<ListBucketResult xmlns=\"http://s3.amazonaws.com/doc/2006-03-01/\">");
        xml.push_str(&format!("<Name>{}</Name>", escape(bucket)));
        xml.push_str(&format!("<Prefix>{}</Prefix>", escape(prefix)));
        xml.push_str(&format!("<KeyCount>{}</KeyCount>", names.len()));
        xml.push_str(&format!("<IsTruncated>{more}</IsTruncated>"));
        for name in &names {
            xml.push_str(&format!("<Contents><Key>{}</Key></Contents>", escape(name)));
        }
        if let (true, Some(last)) = (more, names.last()) {
            let token = escape(last);
            xml.push_str(&format!("<NextContinuationToken>{token}</NextContinuationToken>"));
        }
        xml.push_str("</ListBucketResult>");
        xml
    }
}

/// Returns the XML body of an error answer.
pub fn error_body(code: &str) -> String {
    format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<Error><Code>{code}</Code></Error>")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Decodes percent-encoded text.
pub fn percent_decode(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        if b == b'%' {
            let digits = [bytes.next(), bytes.next()].map(|d| d.map_or(0, hex_value));
            out.push(digits[0] * 16 + digits[1]);
        } else {
            out.push(b);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn hex_value(digit: u8) -> u8 {
    char::from(digit).to_digit(16).map_or(0, |d| d as u8)
}
