/// One item of a token stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamItem {
    /// The end mark: the answer is whole.
    End,
    /// One event with one or more tokens' text.
    Event {
        /// Data of the event, as the engine sent it.
        data: String,
        /// Id of the event, by which a broken stream is resumed.
        id: String,
    },
}
