//! Reads a YAML document field by field and collects findings.

use saphyr::{LoadableYamlNode, MarkedYaml};

use crate::finding::{Finding, Findings};

/// Checks a file and collects its findings.
pub struct Reader<'f> {
    file: &'f str,
    findings: Vec<Finding>,
}

/// A YAML node with its path from the root.
#[derive(Clone)]
pub struct Node<'a, 'y> {
    yaml: &'a MarkedYaml<'y>,
    path: String,
}

impl<'f> Reader<'f> {
    /// Creates a reader that reports findings in `file`.
    pub fn new(file: &'f str) -> Self {
        Reader {
            file,
            findings: Vec::new(),
        }
    }

    /// Parses `text`. Reports a finding and returns `None` if it is not exactly one YAML document.
    pub fn parse_document<'y>(&mut self, text: &'y str) -> Option<MarkedYaml<'y>> {
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

    /// Returns whether there are no findings so far.
    pub fn has_no_findings(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    /// All findings, in the order of their position.
    pub fn into_result<T>(mut self, value: Option<T>) -> Result<T, Findings> {
        self.findings
            .sort_by_key(|finding| (finding.line, finding.column));
        match value {
            Some(value) if self.findings.is_empty() => Ok(value),
            _ => Err(Findings(self.findings)),
        }
    }

    /// Reports a finding at a node.
    pub fn report(&mut self, node: &Node<'_, '_>, message: &str, help: &str) {
        let start = node.yaml.span.start;
        self.report_at(start.line(), start.col() + 1, &node.path, message, help);
    }

    fn report_at(&mut self, line: usize, column: usize, path: &str, message: &str, help: &str) {
        self.findings.push(Finding {
            file: self.file.to_owned(),
            line,
            column,
            path: path.to_owned(),
            message: message.to_owned(),
            help: help.to_owned(),
        });
    }

    /// Checks that `node` is a mapping, and reports fields that are not in `known`. Returns whether it is a
    /// mapping.
    pub fn check_fields(&mut self, node: &Node<'_, '_>, known: &[&str]) -> bool {
        let Some(mapping) = node.yaml.data.as_mapping() else {
            let help = format!("give a mapping with {}", known.join(", "));
            self.report(node, "not a mapping", &help);
            return false;
        };
        for key in mapping.keys() {
            let name = key.data.as_str().unwrap_or("?");
            if known.contains(&name) {
                continue;
            }
            let key = Node {
                yaml: key,
                path: node.join(name),
            };
            let help = format!("remove it, or use one of {}", known.join(", "));
            self.report(&key, "unknown field", &help);
        }
        true
    }

    /// Returns the field `name`; reports a finding if it is missing.
    pub fn required<'a, 'y>(&mut self, node: &Node<'a, 'y>, name: &str) -> Option<Node<'a, 'y>> {
        let field = node.get(name);
        if field.is_none() && node.yaml.data.as_mapping().is_some() {
            let message = format!("field {name} is missing");
            self.report(node, &message, "add it");
        }
        field
    }

    /// Reads a non-empty string.
    pub fn text(&mut self, node: &Node<'_, '_>) -> Option<String> {
        match node.yaml.data.as_str() {
            Some(text) if !text.is_empty() => Some(text.to_owned()),
            _ => {
                self.report(node, "not a text", "give a text that is not empty");
                None
            }
        }
    }

    /// Reads `true` or `false`.
    pub fn boolean(&mut self, node: &Node<'_, '_>) -> Option<bool> {
        let flag = node.yaml.data.as_bool();
        if flag.is_none() {
            self.report(node, "not a truth value", "give true or false");
        }
        flag
    }

    /// Reads an integer in `min..=max`.
    pub fn number(&mut self, node: &Node<'_, '_>, min: u64, max: u64) -> Option<u64> {
        let number = node
            .yaml
            .data
            .as_integer()
            .and_then(|n| u64::try_from(n).ok());
        match number {
            Some(number) if (min..=max).contains(&number) => Some(number),
            _ => {
                let help = format!("give a whole number from {min} to {max}");
                self.report(node, "not a number in range", &help);
                None
            }
        }
    }

    /// Reads a string and parses it, for example as a socket address.
    pub fn parse<T: std::str::FromStr>(&mut self, node: &Node<'_, '_>, help: &str) -> Option<T> {
        let text = self.text(node)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.report(node, &format!("{text:?} does not fit"), help);
                None
            }
        }
    }

    /// Reads an HTTP base URL with an IP address and port, without a trailing slash.
    pub fn url(&mut self, node: &Node<'_, '_>) -> Option<String> {
        let text = self.text(node)?;
        let address = text.strip_prefix("http://").unwrap_or_default();
        if address.parse::<std::net::SocketAddr>().is_ok() {
            return Some(text);
        }
        let message = format!("{text:?} is not a base address");
        self.report(node, &message, "give http://IP:PORT without a path");
        None
    }

    /// Reads a sequence. Reports a finding and returns no items if the node is not a sequence.
    pub fn sequence<'a, 'y>(&mut self, node: &Node<'a, 'y>) -> Vec<Node<'a, 'y>> {
        let Some(items) = node.yaml.data.as_sequence() else {
            self.report(node, "not a list", "give a list");
            return Vec::new();
        };
        let item = |(index, yaml)| Node {
            yaml,
            path: format!("{}[{index}]", node.path),
        };
        items.iter().enumerate().map(item).collect()
    }

    /// Reads a sequence of non-empty strings.
    pub fn texts(&mut self, node: &Node<'_, '_>) -> Vec<String> {
        let items = self.sequence(node);
        items.iter().filter_map(|item| self.text(item)).collect()
    }
}

impl<'a, 'y> Node<'a, 'y> {
    /// Creates the root node of a document.
    pub fn root(yaml: &'a MarkedYaml<'y>) -> Self {
        Node {
            yaml,
            path: String::new(),
        }
    }

    /// Returns the field `name`, if present.
    pub fn get(&self, name: &str) -> Option<Node<'a, 'y>> {
        let yaml = self.yaml.data.as_mapping_get(name)?;
        Some(Node {
            yaml,
            path: self.join(name),
        })
    }

    /// Returns the string value of the node, without reporting a finding if it is not a string.
    pub fn as_text(&self) -> Option<&'a str> {
        self.yaml.data.as_str()
    }

    fn join(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}
