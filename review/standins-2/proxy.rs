//! A proxy that passes bytes on, or holds them back.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CHECK: Duration = Duration::from_millis(5);

/// A proxy in front of one address.
pub struct Proxy {
    is_silent: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy at `address` in front of `target`.
    pub fn start(address: SocketAddrV4, target: SocketAddrV4) -> Self {
        let listener = TcpListener::bind(address).expect("the proxy's address is free");
        let is_silent = Arc::new(AtomicBool::new(false));
        let flag = is_silent.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let flag = flag.clone();
                thread::spawn(move || serve(near, target, &flag));
            }
        });
        Self { is_silent }
    }

    /// Holds all bytes back, or passes them on again.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }
}

fn serve(near: TcpStream, target: SocketAddrV4, is_silent: &Arc<AtomicBool>) {
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let flag = is_silent.clone();
    thread::spawn(move || pass(far_copy, near_copy, &flag));
    pass(near, far, is_silent);
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_silent: &AtomicBool) {
    let mut buf = [0; 16 << 10];
    while let Ok(count) = from.read(&mut buf) {
        while is_silent.load(Ordering::SeqCst) {
            thread::sleep(CHECK);
        }
        if count == 0 || to.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
