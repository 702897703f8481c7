//! TCP sockets with the options that detect dead peers and avoid delays.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// The longest queue of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// How long sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The idle time before the first keepalive probe, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered keepalive probes that close a connection.
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

/// Connects to `address` within `limit`, from `source` if one is given, and sets the options of the
/// connection.
///
/// # Errors
///
/// Returns an error when no connection is established in time.
pub async fn connect(
    source: Option<Ipv4Addr>,
    address: SocketAddrV4,
    limit: Duration,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let Some(source) = source {
        socket.bind(SocketAddrV4::new(source, 0).into())?;
    }
    let connecting = socket.connect(address.into());
    let stream = match tokio::time::timeout(limit, connecting).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    set_options(&stream)?;
    Ok(stream)
}

/// Disables Nagle's algorithm and sets the timeouts that close the connection to a dead peer.
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
