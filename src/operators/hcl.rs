//! Reads the operators' file strictly: known blocks and names alone, each once, each value of its kind. All faults are
//! gathered, each with its place, before any is told. It does no I/O.

use hcl_edit::expr::Expression;
use hcl_edit::structure::{Body, Structure};
use hcl_edit::Span;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};
use std::ops::Range;

/// What is wrong with the file, and where.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigFault {
    /// Line and column, from 1.
    pub place: (usize, usize),
    /// What.
    pub what: String,
}

impl Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.place.0, self.place.1, self.what)
    }
}

/// The file, with the faults found so far.
pub struct Reader<'a> {
    text: &'a str,
    blocks: BTreeMap<String, Body>,
    faults: Vec<ConfigFault>,
}

/// A block being read: what is left of it is what nobody knows.
pub struct Block<'r, 'a> {
    reader: &'r mut Reader<'a>,
    name: &'static str,
    body: Option<Body>,
    known: BTreeSet<&'static str>,
}

fn place(text: &str, span: Option<Range<usize>>) -> (usize, usize) {
    let before = text.get(..span.map_or(0, |s| s.start)).unwrap_or(text);
    let line = before.rsplit('\n').next().unwrap_or_default();
    (before.matches('\n').count() + 1, line.chars().count() + 1)
}

impl<'a> Reader<'a> {
    /// Takes the file apart; none of its values is looked at yet.
    pub fn new(text: &'a str) -> Self {
        let mut reader = Reader { text, blocks: BTreeMap::new(), faults: Vec::new() };
        match hcl_edit::parser::parse_body(text) {
            Err(e) => {
                let at = e.location();
                let fault = ConfigFault { place: (at.line(), at.column()), what: e.message().to_string() };
                reader.faults.push(fault);
            }
            Ok(body) => body.into_iter().for_each(|structure| reader.take(structure)),
        }
        reader
    }

    fn take(&mut self, structure: Structure) {
        match structure {
            Structure::Attribute(a) => {
                self.fault(a.key.span(), format!("'{}' stands in no block", a.key.as_str()))
            }
            Structure::Block(block) => {
                let (name, span) = (block.ident.as_str().to_string(), block.ident.span());
                if !block.labels.is_empty() {
                    self.fault(span, format!("the block {name} has no labels"));
                } else if let Entry::Vacant(free) = self.blocks.entry(name.clone()) {
                    free.insert(block.body);
                } else {
                    self.fault(span, format!("the block {name} stands here a second time"));
                }
            }
        }
    }

    fn fault(&mut self, span: Option<Range<usize>>, what: String) {
        let place = place(self.text, span);
        self.faults.push(ConfigFault { place, what });
    }

    /// A block by its name; one that is not there has only defaults.
    pub fn block<'r>(&'r mut self, name: &'static str) -> Block<'r, 'a> {
        let body = self.blocks.remove(name);
        Block { reader: self, name, body, known: BTreeSet::new() }
    }

    /// All that is wrong, in the order of the file, once all blocks have been read.
    pub fn finish(mut self) -> Vec<ConfigFault> {
        for (name, body) in std::mem::take(&mut self.blocks) {
            self.fault(body.span(), format!("there is no block '{name}'"));
        }
        self.faults.sort();
        self.faults
    }
}

impl Block<'_, '_> {
    /// A value, or its default where the file leaves it out.
    pub fn read<T>(
        &mut self,
        name: &'static str,
        or: T,
        what: &str,
        read: impl Fn(&Expression) -> Option<T>,
    ) -> T {
        self.known.insert(name);
        let Some(attribute) = self.body.as_ref().and_then(|b| b.get_attribute(name)) else { return or };
        match read(&attribute.value) {
            Some(value) => value,
            None => {
                let shown = attribute.value.to_string().trim().to_string();
                let what = format!("{}.{name} must be {what}, not {shown}", self.name);
                let span = attribute.value.span();
                self.reader.fault(span, what);
                or
            }
        }
    }

    /// Whether the file says anything of this.
    pub fn is_set(&self, name: &str) -> bool {
        self.body.as_ref().is_some_and(|b| b.get_attribute(name).is_some())
    }

    /// Whether something is on.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.read(name, false, "true or false", Expression::as_bool)
    }

    /// A whole number within a range.
    pub fn number(&mut self, name: &'static str, or: u64, range: std::ops::RangeInclusive<u64>) -> u64 {
        let what = format!("a whole number from {} to {}", range.start(), range.end());
        self.read(name, or, &what, |e| e.as_number()?.as_u64().filter(|n| range.contains(n)))
    }

    /// A text that is not empty.
    pub fn text(&mut self, name: &'static str, or: &str) -> String {
        let text = |e: &Expression| e.as_str().filter(|s| !s.is_empty()).map(str::to_string);
        self.read(name, or.to_string(), "a text", text)
    }

    /// One of a few words.
    pub fn choice<T: Copy>(&mut self, name: &'static str, words: &[(&str, T)]) -> T {
        let all: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let what = format!("one of {}", all.join(", "));
        let value = |e: &Expression| words.iter().find(|(word, _)| e.as_str() == Some(word)).map(|(_, v)| *v);
        self.read(name, words[0].1, &what, value)
    }

    /// A fault of several values together, at the place of one of them or of the block.
    pub fn add_fault(&mut self, name: &str, what: String) {
        let at =
            self.body.as_ref().and_then(|b| b.get_attribute(name).map(|a| a.value.span()).or(Some(b.span())));
        self.reader.fault(at.flatten(), what);
    }

    /// Ends the block: whatever is in it that was not asked for is a fault.
    pub fn finish(self) {
        let Block { reader, name, body, known } = self;
        let mut seen = BTreeSet::new();
        for structure in body.into_iter().flatten() {
            match structure {
                Structure::Attribute(a) => {
                    let key = a.key.as_str().to_string();
                    if !known.contains(&key[..]) {
                        reader.fault(a.key.span(), format!("{name} has no '{key}'"));
                    } else if !seen.insert(key.clone()) {
                        reader.fault(a.key.span(), format!("{name}.{key} stands here a second time"));
                    }
                }
                Structure::Block(b) => {
                    let what = format!("{name} has no block '{}'", b.ident.as_str());
                    reader.fault(b.ident.span(), what);
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
    fn what_is_left_out_has_its_default_and_what_is_there_is_read() {
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
    fn all_faults_are_told_at_once_each_with_its_place() {
        let text = "top = 1\nodata {\n  enabled = 3\n  port = 12\n  mode = \"loud\"\n  name = \"\"\n  tea = 1\n  cup {}\n}\n\
            odata {}\nlunch {\n}\nteas \"x\" {}";
        assert_eq!(
            faults(text),
            [
                "1:1: 'top' stands in no block",
                "3:13: odata.enabled must be true or false, not 3",
                "4:10: odata.port must be a whole number from 1 to 9, not 12",
                "5:10: odata.mode must be one of slow, fast, not \"loud\"",
                "6:10: odata.name must be a text, not \"\"",
                "7:3: odata has no 'tea'",
                "8:3: odata has no block 'cup'",
                "10:1: the block odata stands here a second time",
                "11:8: there is no block 'lunch'",
                "13:1: the block teas has no labels",
            ]
        );
    }

    #[test]
    fn what_cannot_be_parsed_is_one_fault_with_its_place() {
        let told = faults("odata {\n  enabled = \n}");
        assert_eq!(told.len(), 1);
        assert!(told[0].starts_with("2:"), "{told:?}");
    }
}
