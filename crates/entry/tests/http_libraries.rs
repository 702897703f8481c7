//! Tests of the behaviour of the HTTP libraries on which the entry host relies.
//!
//! The tests of `tiny_http` show why it does not read callers' requests: it limits neither the time
//! nor the size of a head. See `docs/design/callers-http.md`.

use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use yuccanotch_entry::engine_client::agent;
use yuccanotch_entry::engine_client::was_not_sent;

/// Starts a server that answers the i-th request with `answer(i)`; returns its address and the count
/// of requests. An empty answer closes the connection.
fn server(answer: fn(usize) -> &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the port has an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("a connection arrives");
            let counter = counter.clone();
            thread::spawn(move || serve(stream, &counter, answer));
        }
    });
    (address, requests)
}

fn serve(mut stream: TcpStream, requests: &AtomicUsize, answer: fn(usize) -> &'static str) {
    let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
    loop {
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
        }
        let text = answer(requests.fetch_add(1, Ordering::SeqCst));
        if text.is_empty() || stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const MOVED: &str = "HTTP/1.1 307 Moved\r\nlocation: /again\r\ncontent-length: 0\r\n\r\n";

#[test]
fn a_call_whose_connection_breaks_is_sent_once() {
    // The server answers the first call, and closes the connection of the second one unanswered.
    let (address, requests) = server(|i| if i == 0 { OK } else { "" });
    let agent = agent(Duration::from_secs(1));
    let url = format!("http://{address}/");
    agent.get(&url).call().expect("the first call is answered");
    let e = agent.get(&url).call().expect_err("the second call is not answered");
    assert!(!was_not_sent(&e), "{e:?}");
    assert_eq!(requests.load(Ordering::SeqCst), 2);
}

#[test]
fn a_redirect_is_not_followed() {
    let (address, requests) = server(|_| MOVED);
    let response = agent(Duration::from_secs(1)).get(format!("http://{address}/")).call();
    assert_eq!(response.expect("the answer is passed on").status().as_u16(), 307);
    assert_eq!(requests.load(Ordering::SeqCst), 1);
}

#[test]
fn a_refused_connection_counts_as_not_sent() {
    let address = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let url = format!("http://{}/", address.expect("a port is free"));
    let e =
        agent(Duration::from_secs(1)).get(url).call().expect_err("no server listens on the port");
    assert!(was_not_sent(&e), "{e:?}");
}

#[test]
fn tiny_http_sets_no_time_limit_for_an_incomplete_head() {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a port is free");
    let address = server.server_addr().to_ip().expect("the port has an address");
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream.write_all(b"POST / HTTP/1.1\r\nhost:").expect("the bytes leave");
    stream.set_read_timeout(Some(Duration::from_millis(500))).expect("a timeout can be set");
    assert!(
        stream.read(&mut [0; 1]).is_err(),
        "tiny_http closes a connection with an incomplete head"
    );
}

#[test]
fn tiny_http_sets_no_size_limit_for_a_head() {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a port is free");
    let address = server.server_addr().to_ip().expect("the port has an address");
    let client = thread::spawn(move || {
        let mut stream = TcpStream::connect(address).expect("the server listens");
        let head = format!("GET / HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n", "y".repeat(4 << 20));
        stream.write_all(head.as_bytes()).expect("the bytes leave");
    });
    let req = server.recv_timeout(Duration::from_secs(10)).expect("the server runs");
    assert!(req.is_some(), "tiny_http limits the size of a head");
    client.join().expect("the client ends");
}
