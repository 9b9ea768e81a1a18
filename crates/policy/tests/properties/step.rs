use super::*;

/// Random step of the model.
#[derive(Clone, Debug)]
pub enum Step {
    Advance(u8),
    Arrive {
        class: u8,
        has_key: bool,
    },
    CallerGone(u8),
    Claim {
        answer: u8,
        pick: u8,
    },
    Complete(u8),
    Fail {
        cause: u8,
        delivered: bool,
        pick: u8,
        ran: bool,
    },
    Leave {
        leaving: bool,
        upstream: u8,
    },
    Probe {
        healthy: bool,
        upstream: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0 => Self::Advance(pick),
            1..=4 => Self::Arrive {
                class: pick,
                has_key: bool::arbitrary(g),
            },
            5 => Self::CallerGone(pick),
            6 => Self::Claim {
                answer: u8::arbitrary(g),
                pick,
            },
            7 | 8 => Self::Complete(pick),
            9 => Self::Fail {
                cause: u8::arbitrary(g),
                delivered: bool::arbitrary(g),
                pick,
                ran: bool::arbitrary(g),
            },
            10 => Self::Leave {
                leaving: bool::arbitrary(g),
                upstream: pick,
            },
            _ => Self::Probe {
                healthy: bool::arbitrary(g),
                upstream: pick,
            },
        }
    }
}
