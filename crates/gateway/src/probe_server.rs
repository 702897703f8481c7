//! A small HTTP server for readiness checks and metrics: it answers every request, whatever its
//! path, with the result of one function.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::answer::AnswerBody;

/// The pause after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

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
pub async fn serve(listener: TcpListener, answer: impl Fn() -> Response<AnswerBody> + 'static) {
    let answer = Rc::new(answer);
    loop {
        let stream = accept(&listener).await;
        let answer = answer.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let response = answer();
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            // If the connection breaks, the client asks again on another one.
            let _ = connection.await;
        });
    }
}
