use super::*;

/// Which upstreams of an installation a message or a copy of the upstream table covers.
///
/// In a large installation the hosts of a failure domain know only a part of the upstreams, their
/// working set.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Identifies a division of the upstreams into levels; 0 where every host knows all upstreams.
    pub division: u32,
    /// Highest level of the rows that are covered.
    pub level: u8,
}

impl Coverage {
    /// Covers all upstreams, whatever their level.
    pub const fn all(division: u32) -> Self {
        Self {
            division,
            level: u8::MAX,
        }
    }

    /// Restricts this coverage to the rows of a host of the given level. Returns `None` if this
    /// coverage does not include all of them.
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
