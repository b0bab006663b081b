//! The text of a list in discovery's format, and of one of its entries.

use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value as Json;
use std::borrow::Cow;
use std::fmt;

/// A list, its entries not parsed yet.
#[derive(Deserialize)]
pub struct ListText<'a> {
    pub generation: Json,
    #[serde(default)]
    pub reset: Json,
    #[serde(borrow)]
    pub instances: Vec<&'a RawValue>,
}

/// An entry of a list. A field of another type than expected counts as missing.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListEntry<'a> {
    #[serde(borrow, default)]
    pub instance_id: Field<'a>,
    #[serde(borrow, default)]
    pub host_port: Field<'a>,
    #[serde(borrow, default)]
    pub zone: Field<'a>,
    #[serde(borrow, default)]
    pub cell: Field<'a>,
    #[serde(borrow, default)]
    pub lifecycle: Field<'a>,
    #[serde(borrow, default)]
    pub mode: Field<'a>,
    #[serde(borrow, default)]
    pub started_at_ms: Field<'a>,
}

/// The value of a field.
#[derive(Default)]
pub enum Field<'a> {
    /// A whole number that is not negative.
    Number(u64),
    /// A text.
    Text(Cow<'a, str>),
    /// Anything else, or nothing.
    #[default]
    Other,
}

impl<'de: 'a, 'a> Deserialize<'de> for Field<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(FieldVisitor)
    }
}

struct FieldVisitor;

impl<'de> Visitor<'de> for FieldVisitor {
    type Value = Field<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(Field::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Field::Text(Cow::Owned(text.to_string())))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Self::Value, E> {
        Ok(Field::Number(number))
    }

    fn visit_i64<E>(self, _: i64) -> Result<Self::Value, E> {
        Ok(Field::Other)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Self::Value, E> {
        Ok(Field::Other)
    }

    fn visit_bool<E>(self, _: bool) -> Result<Self::Value, E> {
        Ok(Field::Other)
    }

    fn visit_unit<E>(self) -> Result<Self::Value, E> {
        Ok(Field::Other)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, values: A) -> Result<Self::Value, A::Error> {
        IgnoredAny.visit_seq(values).map(|_| Field::Other)
    }

    fn visit_map<A: MapAccess<'de>>(self, fields: A) -> Result<Self::Value, A::Error> {
        IgnoredAny.visit_map(fields).map(|_| Field::Other)
    }
}

impl Field<'_> {
    /// Its text, if it is one.
    pub fn text(&self) -> Option<&str> {
        if let Field::Text(text) = self {
            Some(text)
        } else {
            None
        }
    }

    /// Its number, if it is a whole one that is not negative.
    pub fn number(&self) -> Option<u64> {
        if let Field::Number(number) = self {
            Some(*number)
        } else {
            None
        }
    }
}
