//! Strict parser of the operators' file: only known blocks and names are allowed, each at most once, and each
//! value must have its type. All faults are collected with their locations and reported together. It does no
//! I/O.

use hcl_edit::expr::Expression;
use hcl_edit::structure::{Body, Structure};
use hcl_edit::Span;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};
use std::ops::Range;

/// A fault in the file and its location.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigFault {
    /// Line and column, from 1.
    pub location: (usize, usize),
    /// Description of the fault.
    pub what: String,
}

impl Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.location.0, self.location.1, self.what)
    }
}

/// The parsed file and the faults found so far.
pub struct Reader<'a> {
    text: &'a str,
    blocks: BTreeMap<String, Body>,
    faults: Vec<ConfigFault>,
}

/// A block that is being read. [`Block::finish`] reports each name in it that has not been read as a fault.
pub struct Block<'r, 'a> {
    reader: &'r mut Reader<'a>,
    name: &'static str,
    body: Option<Body>,
    names_read: BTreeSet<&'static str>,
}

/// Line and column of the start of a span, from 1.
fn location(text: &str, span: Option<Range<usize>>) -> (usize, usize) {
    let before = text.get(..span.map_or(0, |s| s.start)).unwrap_or(text);
    let line = before.rsplit('\n').next().unwrap_or_default();
    (before.matches('\n').count() + 1, line.chars().count() + 1)
}

impl<'a> Reader<'a> {
    /// Splits the file into its blocks; no value is checked yet.
    pub fn new(text: &'a str) -> Self {
        let mut reader = Reader { text, blocks: BTreeMap::new(), faults: Vec::new() };
        match hcl_edit::parser::parse_body(text) {
            Err(e) => {
                let position = e.location();
                let fault = ConfigFault {
                    location: (position.line(), position.column()),
                    what: e.message().to_string(),
                };
                reader.faults.push(fault);
            }
            Ok(body) => body.into_iter().for_each(|structure| reader.add_structure(structure)),
        }
        reader
    }

    fn add_structure(&mut self, structure: Structure) {
        match structure {
            Structure::Attribute(a) => {
                self.add_fault(a.key.span(), format!("'{}' is outside of any block", a.key.as_str()))
            }
            Structure::Block(block) => {
                let (name, span) = (block.ident.as_str().to_string(), block.ident.span());
                if !block.labels.is_empty() {
                    self.add_fault(span, format!("the block {name} must not have labels"));
                } else if let Entry::Vacant(free) = self.blocks.entry(name.clone()) {
                    free.insert(block.body);
                } else {
                    self.add_fault(span, format!("the block {name} is defined twice"));
                }
            }
        }
    }

    fn add_fault(&mut self, span: Option<Range<usize>>, what: String) {
        let location = location(self.text, span);
        self.faults.push(ConfigFault { location, what });
    }

    /// Returns a block by name. In a block that is not in the file all values have their defaults.
    pub fn block<'r>(&'r mut self, name: &'static str) -> Block<'r, 'a> {
        let body = self.blocks.remove(name);
        Block { reader: self, name, body, names_read: BTreeSet::new() }
    }

    /// Returns all faults in the order of the file, once all blocks have been read. Blocks that were not read
    /// are faults.
    pub fn finish(mut self) -> Vec<ConfigFault> {
        for (name, body) in std::mem::take(&mut self.blocks) {
            self.add_fault(body.span(), format!("unknown block '{name}'"));
        }
        self.faults.sort();
        self.faults
    }
}

impl Block<'_, '_> {
    /// Reads a value with `read`; returns `default` if it is missing or invalid. `what` describes valid
    /// values.
    pub fn read<T>(
        &mut self,
        name: &'static str,
        default: T,
        what: &str,
        read: impl Fn(&Expression) -> Option<T>,
    ) -> T {
        self.names_read.insert(name);
        let Some(attribute) = self.body.as_ref().and_then(|b| b.get_attribute(name)) else { return default };
        match read(&attribute.value) {
            Some(value) => value,
            None => {
                let shown = attribute.value.to_string().trim().to_string();
                let what = format!("{}.{name} must be {what}, not {shown}", self.name);
                let span = attribute.value.span();
                self.reader.add_fault(span, what);
                default
            }
        }
    }

    /// Whether the file contains a value of this name.
    pub fn is_set(&self, name: &str) -> bool {
        self.body.as_ref().is_some_and(|b| b.get_attribute(name).is_some())
    }

    /// A Boolean; false if it is missing.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.read(name, false, "true or false", Expression::as_bool)
    }

    /// An integer within a range.
    pub fn number(&mut self, name: &'static str, default: u64, range: std::ops::RangeInclusive<u64>) -> u64 {
        let what = format!("a whole number from {} to {}", range.start(), range.end());
        self.read(name, default, &what, |e| e.as_number()?.as_u64().filter(|n| range.contains(n)))
    }

    /// A string that is not empty.
    pub fn text(&mut self, name: &'static str, default: &str) -> String {
        let text = |e: &Expression| e.as_str().filter(|s| !s.is_empty()).map(str::to_string);
        self.read(name, default.to_string(), "a non-empty string", text)
    }

    /// One of several words, each with its value; the first is the default.
    pub fn choice<T: Copy>(&mut self, name: &'static str, words: &[(&str, T)]) -> T {
        let all: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let what = format!("one of {}", all.join(", "));
        let value = |e: &Expression| words.iter().find(|(word, _)| e.as_str() == Some(word)).map(|(_, v)| *v);
        self.read(name, words[0].1, &what, value)
    }

    /// Adds a fault that concerns several values, at the location of one of them or else of the block.
    pub fn add_fault(&mut self, name: &str, what: String) {
        let at =
            self.body.as_ref().and_then(|b| b.get_attribute(name).map(|a| a.value.span()).or(Some(b.span())));
        self.reader.add_fault(at.flatten(), what);
    }

    /// Finishes the block: reports nested blocks, names that were not read, and names that are set twice.
    pub fn finish(self) {
        let Block { reader, name, body, names_read } = self;
        let mut seen = BTreeSet::new();
        for structure in body.into_iter().flatten() {
            match structure {
                Structure::Attribute(a) => {
                    let key = a.key.as_str().to_string();
                    if !names_read.contains(&key[..]) {
                        reader.add_fault(a.key.span(), format!("{name} has no '{key}'"));
                    } else if !seen.insert(key.clone()) {
                        reader.add_fault(a.key.span(), format!("{name}.{key} is set twice"));
                    }
                }
                Structure::Block(b) => {
                    let what = format!("{name} has no block '{}'", b.ident.as_str());
                    reader.add_fault(b.ident.span(), what);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn faults(text: &str) -> Vec<String> {
        let mut reader = Reader::new(text);
        let mut block = reader.block("odata");
        block.flag("enabled");
        block.number("port", 1, 1..=9);
        block.choice("mode", &[("slow", 1), ("fast", 2)]);
        block.text("name", "x");
        block.finish();
        reader.finish().iter().map(ToString::to_string).collect()
    }

    #[test]
    fn a_missing_value_has_its_default_and_a_present_one_is_read() {
        assert_eq!(faults(""), Vec::<String>::new());
        let mut reader = Reader::new("odata {\n enabled = true\n mode = \"fast\"\n port = 3\n}");
        let mut block = reader.block("odata");
        assert!(block.flag("enabled") && !block.flag("other"));
        assert_eq!(block.choice("mode", &[("slow", 1), ("fast", 2)]), 2);
        assert_eq!((block.number("port", 1, 1..=9), block.number("ports", 7, 1..=9)), (3, 7));
        block.finish();
        assert!(reader.finish().is_empty());
    }

    #[test]
    fn all_faults_are_reported_together_each_with_its_location() {
        let text = "top = 1\nodata {\n  enabled = 3\n  port = 12\n  mode = \"loud\"\n  name = \"\"\n  tea = 1\n  cup {}\n}\n\
            odata {}\nlunch {\n}\nteas \"x\" {}";
        assert_eq!(
            faults(text),
            [
                "1:1: 'top' is outside of any block",
                "3:13: odata.enabled must be true or false, not 3",
                "4:10: odata.port must be a whole number from 1 to 9, not 12",
                "5:10: odata.mode must be one of slow, fast, not \"loud\"",
                "6:10: odata.name must be a non-empty string, not \"\"",
                "7:3: odata has no 'tea'",
                "8:3: odata has no block 'cup'",
                "10:1: the block odata is defined twice",
                "11:8: unknown block 'lunch'",
                "13:1: the block teas must not have labels",
            ]
        );
    }

    #[test]
    fn a_syntax_error_is_one_fault_with_its_location() {
        let faults = faults("odata {\n  enabled = \n}");
        assert_eq!(faults.len(), 1);
        assert!(faults[0].starts_with("2:"), "{faults:?}");
    }
}
