//! Which message of a host an answer belongs to.
//!
//! A faulty server may write an answer once more where the next one on the connection is expected. Only
//! the id tells such an answer from the expected one, whatever its status is.

/// What an answer on a connection shows of the message that it belongs to.
#[derive(Clone, Copy, Debug)]
pub struct AnswerIdentity<'a> {
    /// The id of the message that was sent; `None` for messages that have none.
    pub asked: Option<&'a str>,
    /// The id that the answer names.
    pub named: Option<&'a str>,
    /// Whether the answer only states that nothing was run. A server that cannot read a request says so
    /// without its id.
    pub is_refusal: bool,
    /// Whether the connection has carried no message before, so that no earlier answer can come over
    /// it.
    pub is_first: bool,
}

impl AnswerIdentity<'_> {
    /// Returns whether the answer belongs to the message that was sent.
    pub fn is_own(&self) -> bool {
        match (self.asked, self.named) {
            (Some(asked), Some(named)) => asked == named,
            (Some(_), None) => self.is_refusal && self.is_first,
            (None, Some(_)) => false,
            (None, None) => true,
        }
    }
}
