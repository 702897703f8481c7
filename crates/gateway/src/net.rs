//! Sockets with the options that the host relies on.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// The time after which sent bytes without an acknowledgement break a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The idle time after which a connection is probed, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes that break a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Listens on `address`.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Connects to `address` within `limit`.
///
/// # Errors
///
/// Returns an error when no connection comes about in time.
pub async fn connect(address: SocketAddrV4, limit: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(limit, connecting).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    set_options(&stream)?;
    Ok(stream)
}

/// Sets the options of a connection.
///
/// # Errors
///
/// Returns an error when the socket is gone.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
