//! Tests of the ends of streamed answers.

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::runtime::Builder;
use yuccanotch_core::bytes::ByteBudget;

use crate::answer::chunked;
use crate::answer::ChunkSender;
use crate::answer::MAX_BUFFERED_CHUNKS;

/// Sends `count` chunks, ends the answer and returns whether it looks complete to a reader that has
/// read nothing before.
fn looks_complete(count: usize, end: fn(ChunkSender)) -> bool {
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let (chunks, body) = chunked(&ByteBudget::new(None));
        for _ in 0..count {
            chunks.send(Bytes::from_static(b"chunk")).await;
        }
        end(chunks);
        body.collect().await.is_ok()
    })
}

/// Guards against an answer that ends as complete because no room was left for the sign of its
/// break-off.
#[test]
fn an_answer_that_is_not_finished_never_looks_complete() {
    for count in 0..=MAX_BUFFERED_CHUNKS {
        assert!(!looks_complete(count, drop), "{count} chunks");
        assert!(looks_complete(count, ChunkSender::finish), "{count} chunks");
    }
}
