//! Reading a YAML tree field by field, collecting findings on the way.

use saphyr::{LoadableYamlNode, MarkedYaml};

use crate::finding::{Finding, Findings};

/// A file under check.
pub struct Reader<'f> {
    file: &'f str,
    findings: Vec<Finding>,
}

/// A node with its path from the top.
#[derive(Clone)]
pub struct At<'a, 'y> {
    node: &'a MarkedYaml<'y>,
    path: String,
}

impl<'f> Reader<'f> {
    /// Start the check of `file`.
    pub fn new(file: &'f str) -> Self {
        Reader {
            file,
            findings: Vec::new(),
        }
    }

    /// Parse `text`; a finding and nothing if it is not one YAML document.
    pub fn load<'y>(&mut self, text: &'y str) -> Option<MarkedYaml<'y>> {
        match MarkedYaml::load_from_str(text) {
            Ok(mut documents) if documents.len() == 1 => documents.pop(),
            Ok(documents) => {
                let message = format!("the file holds {} YAML documents", documents.len());
                self.report_at(1, 1, "", &message, "give exactly one");
                None
            }
            Err(err) => {
                let (line, column) = (err.marker().line(), err.marker().col() + 1);
                self.report_at(line, column, "", err.info(), "write valid YAML");
                None
            }
        }
    }

    /// Whether nothing was found so far.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// End the check.
    ///
    /// # Errors
    /// All findings, in the order of the file.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, Findings> {
        self.findings
            .sort_by_key(|finding| (finding.line, finding.column));
        match value {
            Some(value) if self.findings.is_empty() => Ok(value),
            _ => Err(Findings(self.findings)),
        }
    }

    /// Report a finding at a node.
    pub fn report(&mut self, at: &At<'_, '_>, message: &str, mend: &str) {
        let start = at.node.span.start;
        self.report_at(start.line(), start.col() + 1, &at.path, message, mend);
    }

    fn report_at(&mut self, line: usize, column: usize, path: &str, message: &str, mend: &str) {
        self.findings.push(Finding {
            file: self.file.to_owned(),
            line,
            column,
            path: path.to_owned(),
            message: message.to_owned(),
            mend: mend.to_owned(),
        });
    }

    /// Check that `at` is a mapping with no other than the `known` fields.
    pub fn fields(&mut self, at: &At<'_, '_>, known: &[&str]) -> bool {
        let Some(mapping) = at.node.data.as_mapping() else {
            let mend = format!("give a mapping with {}", known.join(", "));
            self.report(at, "not a mapping", &mend);
            return false;
        };
        for key in mapping.keys() {
            let name = key.data.as_str().unwrap_or("?");
            if known.contains(&name) {
                continue;
            }
            let key = At {
                node: key,
                path: at.join(name),
            };
            let mend = format!("remove it, or use one of {}", known.join(", "));
            self.report(&key, "unknown field", &mend);
        }
        true
    }

    /// The field `name`; a finding if it is missing.
    pub fn required<'a, 'y>(&mut self, at: &At<'a, 'y>, name: &str) -> Option<At<'a, 'y>> {
        let field = at.get(name);
        if field.is_none() && at.node.data.as_mapping().is_some() {
            let message = format!("field {name} is missing");
            self.report(at, &message, "add it");
        }
        field
    }

    /// A text that is not empty.
    pub fn text(&mut self, at: &At<'_, '_>) -> Option<String> {
        match at.node.data.as_str() {
            Some(text) if !text.is_empty() => Some(text.to_owned()),
            _ => {
                self.report(at, "not a text", "give a text that is not empty");
                None
            }
        }
    }

    /// `true` or `false`.
    pub fn flag(&mut self, at: &At<'_, '_>) -> Option<bool> {
        let flag = at.node.data.as_bool();
        if flag.is_none() {
            self.report(at, "not a truth value", "give true or false");
        }
        flag
    }

    /// A whole number within `least..=most`.
    pub fn number(&mut self, at: &At<'_, '_>, least: u64, most: u64) -> Option<u64> {
        let number = at
            .node
            .data
            .as_integer()
            .and_then(|n| u64::try_from(n).ok());
        match number {
            Some(number) if (least..=most).contains(&number) => Some(number),
            _ => {
                let mend = format!("give a whole number from {least} to {most}");
                self.report(at, "not a number in range", &mend);
                None
            }
        }
    }

    /// A value that parses, such as an address.
    pub fn parsed<T: std::str::FromStr>(&mut self, at: &At<'_, '_>, mend: &str) -> Option<T> {
        let text = self.text(at)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.report(at, &format!("{text:?} does not fit"), mend);
                None
            }
        }
    }

    /// An HTTP base address by IP number, without a trailing slash.
    pub fn url(&mut self, at: &At<'_, '_>) -> Option<String> {
        let text = self.text(at)?;
        let address = text.strip_prefix("http://").unwrap_or_default();
        if address.parse::<std::net::SocketAddr>().is_ok() {
            return Some(text);
        }
        let message = format!("{text:?} is not a base address");
        self.report(at, &message, "give http://IP:PORT without a path");
        None
    }

    /// A sequence; one finding and nothing if it is none.
    pub fn items<'a, 'y>(&mut self, at: &At<'a, 'y>) -> Vec<At<'a, 'y>> {
        let Some(items) = at.node.data.as_sequence() else {
            self.report(at, "not a list", "give a list");
            return Vec::new();
        };
        let item = |(index, node)| At {
            node,
            path: format!("{}[{index}]", at.path),
        };
        items.iter().enumerate().map(item).collect()
    }

    /// A list of texts.
    pub fn texts(&mut self, at: &At<'_, '_>) -> Vec<String> {
        let items = self.items(at);
        items.iter().filter_map(|item| self.text(item)).collect()
    }
}

impl<'a, 'y> At<'a, 'y> {
    /// The top of a document.
    pub fn top(node: &'a MarkedYaml<'y>) -> Self {
        At {
            node,
            path: String::new(),
        }
    }

    /// The field `name`, if it is there.
    pub fn get(&self, name: &str) -> Option<At<'a, 'y>> {
        let node = self.node.data.as_mapping_get(name)?;
        Some(At {
            node,
            path: self.join(name),
        })
    }

    /// The text of a scalar, without a finding if it is none.
    pub fn as_text(&self) -> Option<&'a str> {
        self.node.data.as_str()
    }

    fn join(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}
