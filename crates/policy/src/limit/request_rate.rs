//! Checked rate of requests.

use std::fmt;
use std::time::Duration;

/// Lowest rate, in requests per second. A target that names less, or zero, still gets a request in this time, so that the
/// end of its limit is noticed.
const MIN_RATE: f64 = 0.1;
/// Highest rate, in requests per second; beyond it a limit has no effect.
const MAX_RATE: f64 = 1_000_000.0;

/// A rate of requests per second, from 0.1 to 1,000,000.
///
/// # Examples
///
/// ```
/// use oleanderwind_policy::RequestRate;
///
/// assert_eq!(RequestRate::try_from("20.5").unwrap().per_second(), 20.5);
/// assert_eq!(RequestRate::try_from("0").unwrap().per_second(), 0.1);
/// assert_eq!(RequestRate::try_from("1e300").unwrap().per_second(), 1_000_000.0);
/// assert!(RequestRate::try_from("-1").is_err());
/// assert!(RequestRate::try_from("NaN").is_err());
/// assert!(RequestRate::try_from("inf").is_err());
/// assert!(RequestRate::try_from("few").is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// The reason that a value is not a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestRateError {
    /// It is not a decimal number.
    NotANumber,
    /// It is infinite or not a number by its own word.
    NotFinite,
    /// It is below zero.
    Negative,
}

impl RequestRate {
    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the time between two requests.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.0)
    }

    /// Returns this rate times `share`, at least the lowest rate.
    pub fn scaled(self, share: f64) -> RequestRate {
        RequestRate((self.0 * share).clamp(MIN_RATE, MAX_RATE))
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RequestRateError;

    /// Rates beyond the lowest and the highest are replaced by these.
    fn try_from(per_second: f64) -> Result<RequestRate, RequestRateError> {
        if !per_second.is_finite() {
            return Err(RequestRateError::NotFinite);
        }
        if per_second < 0.0 {
            return Err(RequestRateError::Negative);
        }
        Ok(RequestRate(per_second.clamp(MIN_RATE, MAX_RATE)))
    }
}

impl TryFrom<&str> for RequestRate {
    type Error = RequestRateError;

    fn try_from(text: &str) -> Result<RequestRate, RequestRateError> {
        let per_second: f64 = text.trim().parse().map_err(|_| RequestRateError::NotANumber)?;
        RequestRate::try_from(per_second)
    }
}

impl fmt::Display for RequestRateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RequestRateError::NotANumber => "is not a decimal number",
            RequestRateError::NotFinite => "is not finite",
            RequestRateError::Negative => "is negative",
        })
    }
}

impl std::error::Error for RequestRateError {}
