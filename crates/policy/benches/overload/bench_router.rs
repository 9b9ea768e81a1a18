use super::*;

/// A request to be started on an engine.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    pub engine: usize,
    pub priority: u8,
    pub request: usize,
}

/// A router to compare: decides which request starts on which engine, and when.
pub trait BenchRouter {
    fn arrive(&mut self, now: Time, request: usize, wanted: &BenchRequest) -> Vec<Start>;
    fn ended(&mut self, now: Time, request: usize, tokens: u32) -> Vec<Start>;
    fn first_token(&mut self, _now: Time, _request: usize) {}
    /// The engine refused the request because its queue was full; the request did not run.
    fn refused(&mut self, _now: Time, _request: usize) -> Vec<Start> {
        Vec::new()
    }
    /// Load reports of all engines: the numbers of running and of waiting requests.
    fn reported(&mut self, _now: Time, _loads: &[(u32, u32)]) -> Vec<Start> {
        Vec::new()
    }
    fn tick(&mut self, _now: Time) -> Vec<Start> {
        Vec::new()
    }
}
