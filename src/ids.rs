//! Newtypes for identifiers, sizes and times.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};

/// The longest identifier that is accepted, in bytes.
pub const MAX_NAME: usize = 128;

/// Checks that `s` is usable in a row key, a header and a log line.
///
/// # Errors
/// `BadRequest` for an empty or overlong name, or one with other characters than
/// letters, digits and `._:@+-`.
fn check_name(what: &str, s: &str) -> Result<()> {
    let ok = |b: u8| b.is_ascii_alphanumeric() || b"._:@+-".contains(&b);
    if s.is_empty() || s.len() > MAX_NAME || !s.bytes().all(ok) {
        let msg = format!("{what} must be 1 to {MAX_NAME} of letters, digits and ._:@+-");
        return Err(Error::new(Kind::BadRequest, msg));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $t:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(transparent)]
        pub struct $t(CompactString);

        impl $t {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $t {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $t {
            type Err = Error;

            fn from_str(s: &str) -> Result<$t> {
                check_name($what, s)?;
                Ok($t(CompactString::from(s)))
            }
        }
    };
}

name_type!(
    /// An organisation: a customer that holds budgets.
    OrganisationId,
    "organisation"
);
name_type!(
    /// A service that callers ask for: a model or a plain service.
    ServiceId,
    "service"
);
name_type!(
    /// A back end.
    TargetId,
    "target"
);
name_type!(
    /// An availability zone.
    ZoneId,
    "availability zone"
);
name_type!(
    /// A caller's idempotency key.
    RequestKey,
    "idempotency key"
);
name_type!(
    /// One start of one router process: `instance@start`. Never reused, so that whatever an
    /// earlier start left behind cannot be taken for this one's.
    Incarnation,
    "incarnation"
);
name_type!(
    /// One execution at a target, unique over all routers.
    RunId,
    "run"
);

/// A prepaid budget, `organisation/name`: in id order an organisation's budgets stand together.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct BudgetId(CompactString);

impl BudgetId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The part before the slash.
    pub fn organisation(&self) -> &str {
        self.0.split_once('/').map_or("", |(o, _)| o)
    }
}

impl fmt::Display for BudgetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for BudgetId {
    type Err = Error;

    fn from_str(s: &str) -> Result<BudgetId> {
        let no_slash = || Error::new(Kind::BadRequest, "a budget is named ORGANISATION/NAME");
        let (organisation, name) = s.split_once('/').ok_or_else(no_slash)?;
        check_name("organisation", organisation)?;
        check_name("budget", name)?;
        Ok(BudgetId(CompactString::from(s)))
    }
}

/// A count of model tokens, the unit of every budget.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(kameo::Reply, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Tokens = Tokens(0);
    /// The largest count.
    pub const MAX: Tokens = Tokens(u64::MAX);

    /// The sum, or `None` past the type's edge.
    pub const fn checked_add(self, other: Tokens) -> Option<Tokens> {
        match self.0.checked_add(other.0) {
            Some(n) => Some(Tokens(n)),
            None => None,
        }
    }

    /// The sum, held at the type's edge. Only for amounts that are taken, where more is safer.
    pub const fn plus(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_add(other.0))
    }

    /// The difference, held at zero. Only for amounts that are free, where less is safer.
    pub const fn minus(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(other.0))
    }

    /// This amount times `num / den`, rounded down.
    pub const fn scaled(self, num: u64, den: u64) -> Tokens {
        let n = self.0 as u128 * num as u128 / den as u128;
        Tokens(if n > u64::MAX as u128 { u64::MAX } else { n as u64 })
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Tokens {
    type Err = Error;

    /// Reads `1500`, `20k`, `3M` or `5G`.
    fn from_str(s: &str) -> Result<Tokens> {
        let bad =
            || Error::new(Kind::BadRequest, format!("{s:?} is no token count like 1500, 20k, 3M"));
        let (digits, unit) = match s.as_bytes().last() {
            Some(b'k') => (&s[..s.len() - 1], 1_000),
            Some(b'M') => (&s[..s.len() - 1], 1_000_000),
            Some(b'G') => (&s[..s.len() - 1], 1_000_000_000),
            _ => (s, 1),
        };
        let n: u64 = digits.parse().map_err(|_| bad())?;
        n.checked_mul(unit).map(Tokens).ok_or_else(bad)
    }
}

/// A duration in milliseconds, as settings and wire frames carry it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The same span as a standard duration.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }

    /// The span from `earlier` to this point in time, zero if a clock stepped back.
    pub const fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = Error;

    /// Reads `250ms`, `8s` or `10m`.
    fn from_str(s: &str) -> Result<Millis> {
        let bad =
            || Error::new(Kind::BadRequest, format!("{s:?} is no duration like 250ms, 8s, 10m"));
        let (digits, unit) = if let Some(d) = s.strip_suffix("ms") {
            (d, 1)
        } else if let Some(d) = s.strip_suffix('s') {
            (d, 1_000)
        } else if let Some(d) = s.strip_suffix('m') {
            (d, 60_000)
        } else {
            return Err(bad());
        };
        let n: u64 = digits.parse().map_err(|_| bad())?;
        n.checked_mul(unit).map(Millis).ok_or_else(bad)
    }
}

/// A revision of the configuration. Only ever grows.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(s: &str) -> Result<Revision> {
        s.parse()
            .map(Revision)
            .map_err(|_| Error::new(Kind::BadRequest, format!("{s:?} is no revision")))
    }
}

/// A digest of content, for comparing and for storing API keys.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 16]);

impl Digest {
    /// The digest of `data`: the first 128 bits of BLAKE3.
    pub fn of(data: &[u8]) -> Digest {
        let mut out = [0; 16];
        out.copy_from_slice(&blake3::hash(data).as_bytes()[..16]);
        Digest(out)
    }

    /// The digest as a number, so that a set of digests can be summed.
    pub fn number(&self) -> u128 {
        u128::from_le_bytes(self.0)
    }

    /// The digest with that number.
    pub fn from_number(n: u128) -> Digest {
        Digest(n.to_le_bytes())
    }

    /// 64 bits of the digest, for rendezvous hashing.
    pub fn word(&self) -> u64 {
        u64::from_le_bytes(self.0[..8].try_into().expect("a digest holds 16 bytes"))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(s: &str) -> Result<Digest> {
        let bad = || Error::new(Kind::BadRequest, "a digest is 32 hexadecimal digits");
        if s.len() != 32 || !s.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(bad());
        }
        let mut out = [0; 16];
        for (i, b) in out.iter_mut().enumerate() {
            *b = u8::from_str_radix(&s[2 * i..2 * i + 2], 16).map_err(|_| bad())?;
        }
        Ok(Digest(out))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(s: String) -> Result<Digest> {
        s.parse()
    }
}

impl From<Digest> for String {
    fn from(d: Digest) -> String {
        d.to_string()
    }
}
