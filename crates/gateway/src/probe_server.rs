//! A small HTTP server for readiness checks and metrics: it answers every request, whatever its
//! path, with the result of one function.
//!
//! It has few places. A connection without a request leaves its place to a new one, the oldest first,
//! so that probes are answered while others hold connections open.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task;
use tokio::time;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;

use crate::answer::AnswerBody;
use crate::connections::CloseTime;
use crate::connections::Connection;
use crate::connections::ConnectionTable;
use crate::net;

/// The pause after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The most connections of a listener. A load balancer and a collector of metrics need one each.
const MAX_CONNECTIONS: usize = 32;
/// The longest time without a whole head of a request, longer than the pause between two probes.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// The largest buffer of a connection, in bytes: probes have short heads.
const BUFFER_BYTES: usize = 16 << 10;

/// Accepts the next connection, and tries again after errors.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Answers every request with the result of `answer`, for the life of the process.
pub async fn serve(
    clock: Clock,
    listener: TcpListener,
    answer: impl Fn() -> Response<AnswerBody> + 'static,
) {
    let answer = Rc::new(answer);
    let connections = ConnectionTable::new(clock, Millis::ZERO);
    loop {
        let stream = accept(&listener).await;
        if connections.count() >= MAX_CONNECTIONS && connections.close_oldest_idle() {
            // The task of the closed connection runs meanwhile.
            task::yield_now().await;
        }
        if connections.count() < MAX_CONNECTIONS && net::set_options(&stream).is_ok() {
            let (connection, closed) = connections.open();
            task::spawn_local(serve_connection(stream, connection, closed, answer.clone()));
        }
    }
}

/// Serves a connection until it ends or is closed for others.
async fn serve_connection(
    stream: TcpStream,
    place: Connection,
    closed: oneshot::Receiver<CloseTime>,
    answer: Rc<impl Fn() -> Response<AnswerBody>>,
) {
    let service = service_fn(move |req: Request<Incoming>| {
        // An answer is short: a connection that does not read it counts as idle like any other.
        drop(place.begin_request());
        let mut response = answer();
        // Bodies are not read, so that the rest of the connection cannot be understood.
        if !req.body().is_end_stream() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        Ok(_) = closed => {}
        // If the connection breaks, the client asks again on another one.
        _ = connection => {}
    }
}
