use super::*;

/// Tasks of one kind, which are joined or aborted when the host stops.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskSet {
    tasks: Arc<Mutex<JoinSet<()>>>,
}

impl TaskSet {
    /// Spawns a task, and removes finished tasks from the set.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.running().spawn(task);
    }

    pub(crate) fn count(&self) -> usize {
        self.running().len()
    }

    /// Removes and returns the running tasks, to be joined.
    pub(crate) fn take(&self) -> JoinSet<()> {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *tasks)
    }

    fn running(&self) -> MutexGuard<'_, JoinSet<()>> {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        while tasks.try_join_next().is_some() {}
        tasks
    }
}
