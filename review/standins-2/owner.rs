//! Finds out which process of this program's own children opened a connection.

use std::fs;
use std::net::SocketAddr;

/// Returns whether the process `pid` has the other end of the connection from `peer` to `local`.
pub fn is_owner(pid: u32, peer: SocketAddr, local: SocketAddr) -> bool {
    let Some(inode) = inode(peer, local) else {
        return false;
    };
    let wanted = format!("socket:[{inode}]");
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    let links = entries.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    links.into_iter().any(|link| link.to_string_lossy() == wanted)
}

/// Returns the inode of the socket at `peer` that is connected to `local`.
fn inode(peer: SocketAddr, local: SocketAddr) -> Option<String> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (peer, local) = (hex(peer)?, hex(local)?);
    let row = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    let mut rows = row.filter(|r| r.len() > 9 && r[1] == peer && r[2] == local);
    rows.next().map(|r| r[9].to_owned())
}

fn hex(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(v4) = address else {
        return None;
    };
    Some(format!("{:08X}:{:04X}", u32::from_le_bytes(v4.ip().octets()), v4.port()))
}
