//! Integers that are checked against their range as they are read.

use serde::{de, Deserialize, Deserializer, Serialize};
use std::str::FromStr;

/// An integer of at least `MIN` and at most `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct BoundedInteger<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> BoundedInteger<MIN, MAX> {
    /// Returns the number if it is in range, else the reason for rejecting it.
    pub fn new(number: i128) -> Result<Self, String> {
        let in_range = u64::try_from(number).ok().filter(|number| (MIN..=MAX).contains(number));
        in_range.map(BoundedInteger).ok_or_else(|| format!("{number} is out of range, {MIN} to {MAX}"))
    }

    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for BoundedInteger<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = i64::deserialize(deserializer)?;
        BoundedInteger::new(number.into()).map_err(de::Error::custom)
    }
}

impl<const MIN: u64, const MAX: u64> FromStr for BoundedInteger<MIN, MAX> {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number: i128 = text.parse().map_err(|_| format!("{text:?} is not an integer"))?;
        BoundedInteger::new(number)
    }
}
