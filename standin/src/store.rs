//! Object store: the S3 REST API as far as the adapter uses it.

use std::collections::BTreeMap;

use bytes::Bytes;

/// Objects of all buckets by `BUCKET/NAME`.
#[derive(Debug)]
pub struct Store {
    objects: BTreeMap<String, Bytes>,
    page: usize,
}

impl Store {
    /// No objects; lists return at most `page` names at once.
    pub fn new(page: usize) -> Self {
        Self { objects: BTreeMap::new(), page }
    }

    /// Objects stored.
    pub fn count(&self) -> usize {
        self.objects.len()
    }

    /// Stores an object; `false` if `create` is set and the name is taken.
    pub fn put(&mut self, path: &str, body: Bytes, create: bool) -> bool {
        if create && self.objects.contains_key(path) {
            return false;
        }
        self.objects.insert(path.to_owned(), body);
        true
    }

    /// Reads an object.
    pub fn get(&self, path: &str) -> Option<Bytes> {
        self.objects.get(path).cloned()
    }

    /// The answer to `ListObjectsV2`, in XML; `after` is the continuation token.
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
            if names.len() == self.page {
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

/// The XML body of an error.
pub fn error(code: &str) -> String {
    format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<Error><Code>{code}</Code></Error>")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Decodes percent-encoding.
pub fn decode(text: &str) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        if b == b'%' {
            let digits = [bytes.next(), bytes.next()].map(|d| d.map_or(0, hex));
            out.push(digits[0] * 16 + digits[1]);
        } else {
            out.push(b);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn hex(digit: u8) -> u8 {
    char::from(digit).to_digit(16).map_or(0, |d| d as u8)
}
