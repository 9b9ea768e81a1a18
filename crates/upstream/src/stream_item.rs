/// One item of a token stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamItem {
    /// The end marker: the response is complete.
    End,
    /// One event with the text of one or more tokens.
    Event {
        /// Data of the event, as the engine sent it.
        data: String,
        /// Id of the event, from which a broken stream can be resumed.
        id: String,
    },
}
