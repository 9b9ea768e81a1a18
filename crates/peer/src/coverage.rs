use super::*;

/// Which upstreams of an installation some news hold.
///
/// Where there are many, the hosts of a failure domain know a part of them, their working set.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Tells one division of the upstreams from another; 0 where every host knows all of them.
    pub division: u32,
    /// Level up to which rows are held.
    pub level: u8,
}

impl Coverage {
    /// All upstreams, however they are divided.
    pub const fn all(division: u32) -> Self {
        Self {
            division,
            level: u8::MAX,
        }
    }

    /// The part of what is held here that a host of a level knows; `None` if it is not all held.
    pub const fn at_level(self, level: u8) -> Option<Self> {
        if self.division == 0 {
            return Some(Self {
                division: 0,
                level: 0,
            });
        }
        if level > self.level {
            return None;
        }
        Some(Self {
            division: self.division,
            level,
        })
    }
}
