use super::*;

/// Large answers that a host sends at the same time: more of them would all arrive later,
/// and nobody could pass them on meanwhile.
const MAX_CONCURRENT_TRANSFERS: usize = 2;

/// Time after which an answer counts as sent: its receiver may have lost power.
const SLOT_TIMEOUT: Duration = Duration::from_secs(3);

/// Recipients that other hosts are referred to.
const MAX_RECIPIENTS: usize = 8;

/// Limits the large answers that a host sends at a time, and remembers who got one.
///
/// Guards against a start of all hosts at once: each of them would get its part of one
/// thin link, and none of them the whole table in time.
#[derive(Debug, Default)]
pub struct TableTransferSlots {
    active: BTreeMap<u64, (Time, Option<SocketAddr>)>,
    next_number: u64,
    /// Latest recipients, the newest last.
    recipients: VecDeque<SocketAddr>,
}

impl TableTransferSlots {
    /// Takes a slot for a receiver, which may have named where it listens; `None` if all are
    /// taken.
    pub fn begin(&mut self, now: Time, receiver: Option<SocketAddr>) -> Option<u64> {
        self.active
            .retain(|_, (started, _)| now.since(*started) < SLOT_TIMEOUT);
        if self.active.len() >= MAX_CONCURRENT_TRANSFERS {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.active.insert(number, (now, receiver));
        Some(number)
    }

    /// Gives a slot back, as the answer was sent.
    pub fn end(&mut self, number: u64) {
        let Some((_, Some(receiver))) = self.active.remove(&number) else {
            return;
        };
        self.recipients.retain(|known| *known != receiver);
        self.recipients.push_back(receiver);
        if self.recipients.len() > MAX_RECIPIENTS {
            self.recipients.pop_front();
        }
    }

    /// Hosts that got a large answer lately, and can pass it on.
    pub fn recipients(&self) -> Vec<SocketAddr> {
        self.recipients.iter().copied().collect()
    }
}
