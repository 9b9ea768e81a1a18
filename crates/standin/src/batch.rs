use super::*;

#[derive(Debug, Default)]
struct BatchState {
    next_seq: u64,
    running: u32,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<BatchSlot>>,
}

/// The running batch of an engine and its queue of waiting requests, which is
/// ordered by priority.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    queue_bound: u32,
    state: Arc<Mutex<BatchState>>,
    slots: u32,
}

/// A slot in the batch. When the slot is dropped, it passes to the next waiting
/// request.
#[derive(Debug)]
pub(crate) struct BatchSlot {
    state: Arc<Mutex<BatchState>>,
}

impl Batch {
    pub(crate) fn new(slots: u32, queue_bound: u32) -> Self {
        Self {
            queue_bound,
            state: Arc::default(),
            slots,
        }
    }

    pub(crate) fn running(&self) -> u32 {
        lock(&self.state).running
    }

    pub(crate) fn waiting(&self) -> u32 {
        lock(&self.state).waiting.len() as u32
    }

    /// Requests a slot. The receiver gets the slot as soon as a slot is free.
    /// Returns `None` if the queue is full.
    pub(crate) fn request_slot(&self, priority: u8) -> Option<oneshot::Receiver<BatchSlot>> {
        let (sender, receiver) = oneshot::channel();
        let mut state = lock(&self.state);
        if state.running < self.slots {
            state.running += 1;
            let _ = sender.send(BatchSlot {
                state: Arc::clone(&self.state),
            });
            return Some(receiver);
        }
        if state.waiting.len() >= self.queue_bound as usize {
            return None;
        }
        let seq = state.next_seq;
        state.next_seq += 1;
        state.waiting.insert((priority, seq), sender);
        Some(receiver)
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let next = {
            let mut state = lock(&self.state);
            while state
                .waiting
                .first_entry()
                .is_some_and(|entry| entry.get().is_closed())
            {
                state.waiting.pop_first();
            }
            let next = state.waiting.pop_first();
            if next.is_none() {
                state.running -= 1;
            }
            next
        };
        // The lock is released first: if the receiver has just been dropped, the send
        // fails and drops the new slot here, which locks the state again.
        if let Some((_, sender)) = next {
            let _ = sender.send(BatchSlot {
                state: Arc::clone(&self.state),
            });
        }
    }
}
