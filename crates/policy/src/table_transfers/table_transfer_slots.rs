use super::*;

/// Maximum number of tables that a host sends at the same time. With more, all of them would arrive
/// later, and no receiver could pass its table on in the meantime.
const MAX_CONCURRENT_TRANSFERS: usize = 2;

/// Time after which a transfer no longer takes a slot, even if its end was not reported, because
/// the receiver may have lost power.
const SLOT_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of recipients to which other hosts are referred.
const MAX_RECIPIENTS: usize = 8;

/// Limits the tables that a host sends at the same time, and remembers which hosts received one.
///
/// If all hosts start at once, each would otherwise receive its share of one slow link, and no host
/// would have the whole table in time.
#[derive(Debug, Default)]
pub struct TableTransferSlots {
    active: BTreeMap<u64, (Time, Option<SocketAddr>)>,
    next_number: u64,
    /// Recent recipients, newest last.
    recipients: VecDeque<SocketAddr>,
}

impl TableTransferSlots {
    /// Takes a slot for a receiver. `receiver` is the address at which it serves other hosts, if
    /// the receiver sent it. Returns the slot's number, or `None` if all slots are taken.
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

    /// Releases a slot after its table was sent, and records the receiver.
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

    /// Hosts that recently received a table and can pass it on.
    pub fn recipients(&self) -> Vec<SocketAddr> {
        self.recipients.iter().copied().collect()
    }
}
