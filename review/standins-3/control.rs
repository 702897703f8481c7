//! The calls by which a case tells workers what to do.
//!
//! The processes of a case share the loopback interface. So that the path from some hosts to the plain
//! workers can be cut, it leads to another port of the workers, the detour: the store names that port to
//! these hosts.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::http::Connection;

/// The port at which workers take the requests of hosts on the detour.
pub const DETOUR_PORT: u16 = 4_005;
/// The path at which a worker is told whether the detour is cut.
pub const CUT_PATH: &str = "/stand-in/cut";
/// The path at which a worker is told that the detour is whole again.
pub const HEAL_PATH: &str = "/stand-in/heal";
/// The path at which a worker is told to leave without a word.
pub const LEAVE_PATH: &str = "/stand-in/leave";
/// The longest time that a worker takes to answer that.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(5);

/// Tells the worker at `address` whether the detour to it is cut.
pub fn announce(address: SocketAddrV4, is_cut: bool) -> io::Result<()> {
    tell(address, if is_cut { CUT_PATH } else { HEAL_PATH })
}

/// Sends the worker at `address` a call to `path`.
pub fn tell(address: SocketAddrV4, path: &str) -> io::Result<()> {
    let mut conn = Connection::open(address, ANNOUNCE_LIMIT)?;
    let head = format!("POST {path} HTTP/1.1\r\nHost: worker\r\nContent-Length: 0\r\n\r\n");
    conn.write(head.as_bytes())?;
    conn.read().map(|_| ())
}
