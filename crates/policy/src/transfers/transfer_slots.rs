use super::*;

/// Large answers that a host sends at the same time: more of them would all arrive later,
/// and nobody could pass them on meanwhile.
const MAX_ACTIVE: usize = 2;

/// Time after which an answer counts as sent: its receiver may have lost power.
const ACTIVE_FOR: Duration = Duration::from_secs(3);

/// Recipients that other hosts are referred to.
const MAX_RECIPIENTS: usize = 8;

/// Limits the large answers that a host sends at a time, and remembers who got one.
///
/// Guards against a start of all hosts at once: each of them would get its part of one
/// thin link, and none of them the whole table in time.
#[derive(Debug, Default)]
pub struct TransferSlots {
    active: BTreeMap<u64, (Time, Option<SocketAddr>)>,
    next: u64,
    /// Latest recipients, the newest last.
    recipients: VecDeque<SocketAddr>,
}

impl TransferSlots {
    /// Takes a slot for a receiver, which may have named where it listens; `None` if all are
    /// taken.
    pub fn begin(&mut self, now: Time, to: Option<SocketAddr>) -> Option<u64> {
        self.active
            .retain(|_, (began, _)| now.since(*began) < ACTIVE_FOR);
        if self.active.len() >= MAX_ACTIVE {
            return None;
        }
        let number = self.next;
        self.next += 1;
        self.active.insert(number, (now, to));
        Some(number)
    }

    /// Gives a slot back, as the answer was sent.
    pub fn end(&mut self, number: u64) {
        let Some((_, Some(to))) = self.active.remove(&number) else {
            return;
        };
        self.recipients.retain(|known| *known != to);
        self.recipients.push_back(to);
        if self.recipients.len() > MAX_RECIPIENTS {
            self.recipients.pop_front();
        }
    }

    /// Hosts that got a large answer lately, and can pass it on.
    pub fn recipients(&self) -> Vec<SocketAddr> {
        self.recipients.iter().copied().collect()
    }
}
