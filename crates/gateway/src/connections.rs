//! The open connections of a listener. When there is no place for a new one, the one that has had no
//! request for the longest time is closed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::oneshot;
use yuccanotch_core::bytes::ConnectionId;
use yuccanotch_core::bytes::OpenConnections;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;

/// When a connection is closed for others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CloseTime {
    /// At once: it has no request.
    Now,
    /// After the answer to its request.
    AfterAnswer,
}

/// The open connections of a listener, and the signals that close them.
#[derive(Debug)]
pub struct ConnectionTable {
    clock: Clock,
    connections: RefCell<OpenConnections>,
    closers: RefCell<HashMap<ConnectionId, oneshot::Sender<CloseTime>>>,
}

impl ConnectionTable {
    /// Creates an empty table; connections that have been answered stay open for `kept_for` at least.
    pub(crate) fn new(clock: Clock, kept_for: Millis) -> Rc<Self> {
        Rc::new(Self {
            clock,
            connections: RefCell::new(OpenConnections::new(kept_for)),
            closers: RefCell::default(),
        })
    }

    /// Adds a connection, and returns the receiver of the signal that closes it.
    pub(crate) fn open(self: &Rc<Self>) -> (Connection, oneshot::Receiver<CloseTime>) {
        let (closer, closed) = oneshot::channel();
        let id = self.connections.borrow_mut().begin(self.clock.now());
        self.closers.borrow_mut().insert(id, closer);
        (Connection(Rc::new(OpenConnection { table: self.clone(), id })), closed)
    }

    /// Closes the connection that has had no request for the longest time; returns whether there is
    /// one.
    pub(crate) fn close_oldest_idle(&self) -> bool {
        let Some(id) = self.connections.borrow_mut().take_oldest_idle(self.clock.now()) else {
            return false;
        };
        self.close(id, CloseTime::Now);
        true
    }

    /// Lets the oldest connection with a request end after its answer, unless enough of them do.
    pub(crate) fn end_oldest_busy(&self) {
        let chosen = self.connections.borrow_mut().choose_to_end();
        if let Some(id) = chosen {
            self.close(id, CloseTime::AfterAnswer);
        }
    }

    fn close(&self, id: ConnectionId, time: CloseTime) {
        if let Some(closer) = self.closers.borrow_mut().remove(&id) {
            // The connection may have ended in the same moment.
            let _ = closer.send(time);
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.connections.borrow().count()
    }
}

#[derive(Debug)]
struct OpenConnection {
    table: Rc<ConnectionTable>,
    id: ConnectionId,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().end(self.id);
        self.table.closers.borrow_mut().remove(&self.id);
    }
}

/// A connection in a [`ConnectionTable`], until it and its requests are dropped.
#[derive(Clone, Debug)]
pub(crate) struct Connection(Rc<OpenConnection>);

impl Connection {
    /// Counts a request of the connection until the returned value is dropped.
    pub(crate) fn begin_request(&self) -> ConnectionRequest {
        self.0.table.connections.borrow_mut().on_request(self.0.id);
        ConnectionRequest(self.clone())
    }
}

/// A request of a connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionRequest(Connection);

impl Drop for ConnectionRequest {
    fn drop(&mut self) {
        let OpenConnection { table, id } = &*self.0 .0;
        table.connections.borrow_mut().on_answered(table.clock.now(), *id);
    }
}
