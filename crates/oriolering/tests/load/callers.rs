//! Callers that send a request again after a refusal, and callers that leave before a response.

use rand::Rng;
use rand::rngs::SmallRng;

/// The delay before an eager caller sends a refused request again, in milliseconds.
const EAGER_DELAY_MS: u64 = 10;
/// The number of times that a patient or an eager caller sends one request.
const PATIENT_TRIES: u32 = 3;
const EAGER_TRIES: u32 = 8;

/// How callers behave, as shares in percent; the others accept a refusal and wait for responses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Behaviors {
    /// The callers that send a refused request again after the time that the refusal names.
    pub(crate) patient: u32,
    /// The callers that send a refused request again at once, and often.
    pub(crate) eager: u32,
    /// The callers that leave early.
    pub(crate) leaving: u32,
    /// The time after which they leave, in milliseconds.
    pub(crate) leave_ms: u64,
}

impl Behaviors {
    pub(crate) fn choose(&self, rng: &mut SmallRng) -> Behavior {
        let drawn = rng.random_range(0..100);
        if drawn < self.patient {
            Behavior::Patient
        } else if drawn < self.patient + self.eager {
            Behavior::Eager
        } else if drawn < self.patient + self.eager + self.leaving {
            Behavior::Leaving
        } else {
            Behavior::Usual
        }
    }
}

/// The behavior of one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behavior {
    Usual,
    Patient,
    Eager,
    Leaving,
}

impl Behavior {
    /// Returns the delay before a request that was refused `tries` times is sent again, if it is.
    pub(crate) fn retry_delay_ms(self, tries: u32, retry_after_ms: u64) -> Option<u64> {
        match self {
            Self::Patient if tries < PATIENT_TRIES => Some(retry_after_ms),
            Self::Eager if tries < EAGER_TRIES => Some(EAGER_DELAY_MS),
            Self::Usual | Self::Patient | Self::Eager | Self::Leaving => None,
        }
    }
}
