use super::*;

#[derive(Debug, Default)]
struct Seats {
    next_seq: u64,
    running: u32,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Place>>,
}

/// The running batch of an engine and the queue before it, by priority.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    queue_bound: u32,
    seats: Arc<Mutex<Seats>>,
    slots: u32,
}

/// A slot in the batch; dropping it lets the next request in.
#[derive(Debug)]
pub(crate) struct Place {
    seats: Arc<Mutex<Seats>>,
}

impl Batch {
    pub(crate) fn new(slots: u32, queue_bound: u32) -> Self {
        Self {
            queue_bound,
            seats: Arc::default(),
            slots,
        }
    }

    pub(crate) fn running(&self) -> u32 {
        lock(&self.seats).running
    }

    pub(crate) fn waiting(&self) -> u32 {
        lock(&self.seats).waiting.len() as u32
    }

    /// Takes a place in the queue; `None` if it is full.
    pub(crate) fn join(&self, priority: u8) -> Option<oneshot::Receiver<Place>> {
        let (sender, receiver) = oneshot::channel();
        let mut seats = lock(&self.seats);
        if seats.running < self.slots {
            seats.running += 1;
            let _ = sender.send(Place {
                seats: Arc::clone(&self.seats),
            });
            return Some(receiver);
        }
        if seats.waiting.len() >= self.queue_bound as usize {
            return None;
        }
        let seq = seats.next_seq;
        seats.next_seq += 1;
        seats.waiting.insert((priority, seq), sender);
        Some(receiver)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let next = {
            let mut seats = lock(&self.seats);
            while seats
                .waiting
                .first_entry()
                .is_some_and(|entry| entry.get().is_closed())
            {
                seats.waiting.pop_first();
            }
            let next = seats.waiting.pop_first();
            if next.is_none() {
                seats.running -= 1;
            }
            next
        };
        // Outside the lock: a receiver that has just gone drops the place here.
        if let Some((_, sender)) = next {
            let _ = sender.send(Place {
                seats: Arc::clone(&self.seats),
            });
        }
    }
}
