use super::*;

/// The tasks that serve requests: spawned here, and joined when the host stops.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pumps {
    tasks: Arc<Mutex<JoinSet<()>>>,
}

impl Pumps {
    /// Spawns the task of one request, and forgets those that have ended.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    /// The tasks that have not ended, to be joined.
    pub(crate) fn take(&self) -> JoinSet<()> {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *tasks)
    }
}
