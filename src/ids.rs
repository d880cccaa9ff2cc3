//! Newtypes for identifiers, token counts, durations and digests.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};

/// Maximum length of an identifier, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Checks that `s` can be used as part of a row key, a header and a log line.
///
/// # Errors
/// `BadRequest` if the name is empty, longer than [`MAX_NAME_BYTES`], or has characters other than
/// ASCII letters, digits and `._:@+-`.
fn check_name(what: &str, s: &str) -> Result<()> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"._:@+-".contains(&b);
    if s.is_empty() || s.len() > MAX_NAME_BYTES || !s.bytes().all(is_allowed) {
        let msg = format!("{what} must be 1 to {MAX_NAME_BYTES} of letters, digits and ._:@+-");
        return Err(Error::new(Kind::BadRequest, msg));
    }
    Ok(())
}

macro_rules! define_name_type {
    ($(#[$doc:meta])* $t:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(transparent)]
        pub struct $t(CompactString);

        impl $t {
            /// The identifier as a string.
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

define_name_type!(
    /// An organisation: a customer that owns budgets.
    OrganisationId,
    "organisation"
);
define_name_type!(
    /// A service that callers name in requests: a model or a plain HTTP service.
    ServiceId,
    "service"
);
define_name_type!(
    /// A target, which is a back end that executes requests.
    TargetId,
    "target"
);
define_name_type!(
    /// An availability zone.
    ZoneId,
    "availability zone"
);
define_name_type!(
    /// The idempotency key that a caller gives to a request.
    RequestKey,
    "idempotency key"
);
define_name_type!(
    /// Identifies one start of a router process, as `instance@start`. It is never reused, so that
    /// data left by an earlier process of the same instance is never attributed to this one.
    Incarnation,
    "incarnation"
);
define_name_type!(
    /// One execution of a request at a target. Unique across all routers.
    RunId,
    "run"
);

/// Identifies a prepaid budget as `organisation/name`. Sorted by id, the budgets of an organisation
/// are adjacent.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct BudgetId(CompactString);

impl BudgetId {
    /// The id as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The name of the organisation, which is the part before the slash.
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
    /// Zero tokens.
    pub const ZERO: Tokens = Tokens(0);
    /// The largest token count.
    pub const MAX: Tokens = Tokens(u64::MAX);

    /// Returns the sum, or `None` on overflow.
    pub const fn checked_add(self, other: Tokens) -> Option<Tokens> {
        match self.0.checked_add(other.0) {
            Some(n) => Some(Tokens(n)),
            None => None,
        }
    }

    /// Returns the sum, or [`Tokens::MAX`] on overflow. Only for amounts that are spent or reserved,
    /// where an error upwards is safe.
    pub const fn plus(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero on underflow. Only for amounts that are available, where an
    /// error downwards is safe.
    pub const fn minus(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_sub(other.0))
    }

    /// Returns `self * numerator / denominator`, rounded down.
    pub const fn scaled(self, numerator: u64, denominator: u64) -> Tokens {
        let n = self.0 as u128 * numerator as u128 / denominator as u128;
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

    /// Parses a count such as `1500`, `20k`, `3M` or `5G`. The suffixes are decimal.
    fn from_str(s: &str) -> Result<Tokens> {
        let invalid =
            || Error::new(Kind::BadRequest, format!("{s:?} is no token count like 1500, 20k, 3M"));
        let (digits, unit) = match s.as_bytes().last() {
            Some(b'k') => (&s[..s.len() - 1], 1_000),
            Some(b'M') => (&s[..s.len() - 1], 1_000_000),
            Some(b'G') => (&s[..s.len() - 1], 1_000_000_000),
            _ => (s, 1),
        };
        let n: u64 = digits.parse().map_err(|_| invalid())?;
        n.checked_mul(unit).map(Tokens).ok_or_else(invalid)
    }
}

/// A duration or a point in time in milliseconds, as used in settings and wire frames.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts to a standard duration.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later, as after a clock
    /// stepped back.
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

    /// Parses a duration such as `250ms`, `8s` or `10m`.
    fn from_str(s: &str) -> Result<Millis> {
        let invalid =
            || Error::new(Kind::BadRequest, format!("{s:?} is no duration like 250ms, 8s, 10m"));
        let (digits, unit) = if let Some(d) = s.strip_suffix("ms") {
            (d, 1)
        } else if let Some(d) = s.strip_suffix('s') {
            (d, 1_000)
        } else if let Some(d) = s.strip_suffix('m') {
            (d, 60_000)
        } else {
            return Err(invalid());
        };
        let n: u64 = digits.parse().map_err(|_| invalid())?;
        n.checked_mul(unit).map(Millis).ok_or_else(invalid)
    }
}

/// A revision number of the configuration. It increases with every accepted submission.
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

/// A 128-bit digest, used to compare contents and to store API keys.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 16]);

impl Digest {
    /// Computes the digest of `data`, which is the first 128 bits of its BLAKE3 hash.
    pub fn of(data: &[u8]) -> Digest {
        let mut out = [0; 16];
        out.copy_from_slice(&blake3::hash(data).as_bytes()[..16]);
        Digest(out)
    }

    /// Converts to a number, so that the digests of a set can be summed.
    pub fn to_u128(&self) -> u128 {
        u128::from_le_bytes(self.0)
    }

    /// Converts from a number. The inverse of [`Digest::to_u128`].
    pub fn from_u128(n: u128) -> Digest {
        Digest(n.to_le_bytes())
    }

    /// Returns the first 64 bits of the digest, for rendezvous hashing and seeds.
    pub fn first_u64(&self) -> u64 {
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
        let invalid = || Error::new(Kind::BadRequest, "a digest is 32 hexadecimal digits");
        if s.len() != 32 || !s.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(invalid());
        }
        let mut out = [0; 16];
        for (i, b) in out.iter_mut().enumerate() {
            *b = u8::from_str_radix(&s[2 * i..2 * i + 2], 16).map_err(|_| invalid())?;
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
