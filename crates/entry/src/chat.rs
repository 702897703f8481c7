//! Callers' chat requests to models, in the format of the OpenAI API.

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use yuccanotch_core::admit::Pool;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::Finish;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::reason::RefusalReason;

use crate::admission::AdmissionRequest;
use crate::admission::Ticket;
use crate::answer::CallerGone;
use crate::answer::ChunkWriter;
use crate::answer::Responder;
use crate::callers::CallerRequest;
use crate::host::Host;
use crate::pipelines;
use crate::pipelines::AnswerSummary;
use crate::pipelines::ChatJob;
use crate::pipelines::TokenSink;
use crate::problem::Refusal;

/// Ratio of the mean time to serve a request to the shortest time that is assumed when requests are
/// refused because they cannot meet their deadline.
const MEAN_TO_MIN_SERVICE_TIME: u64 = 2;

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Serves `POST /v1/chat/completions`.
pub fn serve(host: &Host, req: &CallerRequest, responder: Responder) {
    let is_gone = || responder.is_gone();
    let (job, stream, ticket) = match prepare(host, req, &is_gone) {
        Ok(prepared) => prepared,
        Err(refusal) => return host.refuse(responder, &refusal),
    };
    if stream {
        serve_stream(host, &job, responder);
    } else {
        serve_unstreamed(host, &job, responder);
    }
    drop(ticket);
}

fn prepare(
    host: &Host,
    req: &CallerRequest,
    is_gone: &dyn Fn() -> bool,
) -> Result<(ChatJob, bool, Ticket), Refusal> {
    let caller = host.authenticate(req)?;
    if req.method != http::Method::POST {
        let text = "this path accepts only POST requests";
        return Err(Refusal::not_run(RefusalReason::MethodNotAllowed, text));
    }
    let chat = parse(&req.body)?;
    let model = ModelName::new(&chat.model);
    let Some(declared) = caller.active.declaration.models.get(&model) else {
        let text = format!("model {:?} does not exist", chat.model);
        return Err(Refusal::not_run(RefusalReason::UnknownModel, text));
    };
    let deadline = host.deadline(req, declared.deadline_ms)?;
    let version = host.serving_version(&model, declared);
    let job = ChatJob {
        request: req.id,
        team: caller.name.clone(),
        model,
        version,
        layers: declared.layers,
        prompt: build_prompt(&chat.messages),
        max_tokens: chat.max_tokens.unwrap_or(declared.max_tokens).min(declared.max_tokens),
        priority: caller.team.priority.engine_level(),
        deadline,
    };
    host.shares.admit(&caller.name, caller.team.requests_per_s)?;
    let ticket =
        host.admission.admit(&caller.name, &caller.team, admission_request(host, &job), is_gone)?;
    Ok((job, chat.stream, ticket))
}

fn admission_request(host: &Host, job: &ChatJob) -> AdmissionRequest {
    let now = host.clock.now();
    let view = host.fleet.view();
    let routing = &host.routing;
    let mean = routing.service_time(&job.model, job.max_tokens);
    AdmissionRequest {
        pool: Pool::Model(job.model.clone()),
        service_time: Millis(mean.0 / MEAN_TO_MIN_SERVICE_TIME),
        deadline: job.deadline,
        stage_capacity: Some(routing.places(now, view, &job.model, &job.version, job.layers)),
        sharing_hosts: host.peers.known_peers().len() as u32 + 1,
    }
}

fn parse(body: &[u8]) -> Result<ChatRequest, Refusal> {
    let text = std::str::from_utf8(body)
        .map_err(|e| Refusal::not_run(RefusalReason::InvalidUtf8, e.to_string()))?;
    let chat: ChatRequest = serde_json::from_str(text)
        .map_err(|e| Refusal::not_run(RefusalReason::Malformed, e.to_string()))?;
    if chat.messages.is_empty() {
        return Err(Refusal::not_run(RefusalReason::Malformed, "messages must not be empty"));
    }
    if chat.max_tokens == Some(0) {
        return Err(Refusal::not_run(RefusalReason::Malformed, "max_tokens must be at least 1"));
    }
    Ok(chat)
}

fn build_prompt(messages: &[Message]) -> String {
    let lines: Vec<String> =
        messages.iter().map(|message| format!("{}: {}", message.role, message.content)).collect();
    lines.join("\n")
}

/// Collects the tokens of an answer that is not streamed.
struct Collector<'a> {
    text: String,
    responder: &'a Responder,
}

impl TokenSink for Collector<'_> {
    fn push_token(&mut self, token: &str) -> Result<(), CallerGone> {
        self.text.push_str(token);
        Ok(())
    }

    fn is_gone(&self) -> bool {
        self.responder.is_gone()
    }
}

fn serve_unstreamed(host: &Host, job: &ChatJob, responder: Responder) {
    let mut sink = Collector { text: String::new(), responder: &responder };
    let result = pipelines::run(host, job, &mut sink);
    let text = sink.text;
    let summary = match result {
        Ok(summary) => summary,
        Err(refusal) => return host.refuse(responder, &refusal),
    };
    log_answered(host, job, &summary);
    let body = json!({
        "id": completion_id(job.request),
        "object": "chat.completion",
        "created": host.clock.unix_now().0 / 1000,
        "model": job.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish_reason(summary.finish),
        }],
        "usage": Usage::from(&summary),
        "yuccanotch": SummaryBody::new(job, &summary),
    });
    responder.respond(200, "application/json", HeaderMap::new(), body.to_string());
}

/// Streams tokens as server-sent events; the response headers are sent with the first token.
struct SseSink<'a> {
    host: &'a Host,
    job: &'a ChatJob,
    responder: Option<Responder>,
    writer: Option<ChunkWriter>,
}

impl SseSink<'_> {
    fn write(&mut self, data: &str) -> Result<(), CallerGone> {
        if let Some(responder) = self.responder.take() {
            let mut headers = HeaderMap::new();
            headers.insert("cache-control", http::HeaderValue::from_static("no-store"));
            self.writer = Some(responder.respond_chunked(200, "text/event-stream", headers));
        }
        match &mut self.writer {
            Some(writer) => writer.write(data.to_owned()),
            None => Err(CallerGone::Closed),
        }
    }

    fn chunk(&self, delta: serde_json::Value, finish: Option<&str>) -> serde_json::Value {
        json!({
            "id": completion_id(self.job.request),
            "object": "chat.completion.chunk",
            "created": self.host.clock.unix_now().0 / 1000,
            "model": self.job.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        })
    }
}

impl TokenSink for SseSink<'_> {
    fn push_token(&mut self, token: &str) -> Result<(), CallerGone> {
        let chunk = self.chunk(json!({"content": token}), None);
        self.write(&format!("data: {chunk}\n\n"))
    }

    fn is_gone(&self) -> bool {
        match (&self.responder, &self.writer) {
            (Some(responder), _) => responder.is_gone(),
            (None, Some(writer)) => writer.is_gone(),
            (None, None) => true,
        }
    }
}

fn serve_stream(host: &Host, job: &ChatJob, responder: Responder) {
    let mut sink = SseSink { host, job, responder: Some(responder), writer: None };
    match pipelines::run(host, job, &mut sink) {
        Ok(summary) => {
            let mut chunk = sink.chunk(json!({}), Some(finish_reason(summary.finish)));
            chunk["usage"] = json!(Usage::from(&summary));
            chunk["yuccanotch"] = json!(SummaryBody::new(job, &summary));
            match sink.write(&format!("data: {chunk}\n\ndata: [DONE]\n\n")) {
                Ok(()) => log_answered(host, job, &summary),
                Err(e) => host.count_refusal(
                    job.request,
                    &Refusal::not_run(RefusalReason::CallerGone, e.to_string()),
                ),
            }
        }
        Err(refusal) => match sink.responder.take() {
            Some(responder) => host.refuse(responder, &refusal),
            None => end_with_error(host, job, &mut sink, &refusal),
        },
    }
}

/// Ends a started stream with an error event, without usage and `[DONE]`.
fn end_with_error(host: &Host, job: &ChatJob, sink: &mut SseSink<'_>, refusal: &Refusal) {
    host.count_refusal(job.request, refusal);
    emit(
        Event::AnswerGivenUp,
        format_args!("host={} request={}: {}", host.settings.host, job.request, refusal.detail),
    );
    let body = refusal.body(job.request);
    let _ = sink.write(&format!("event: error\ndata: {body}\n\n"));
}

fn log_answered(host: &Host, job: &ChatJob, summary: &AnswerSummary) {
    host.telemetry.increment_counter("yuccanotch_answers_total", "model");
    host.telemetry.add_to_counter("yuccanotch_tokens_total", "", u64::from(summary.count));
    emit(
        Event::RequestAnswered,
        format_args!(
            "host={} request={} tokens={} attempts={}",
            host.settings.host, job.request, summary.count, summary.attempts
        ),
    );
}

fn completion_id(request: RequestId) -> String {
    format!("chatcmpl-{request}")
}

fn finish_reason(finish: Finish) -> &'static str {
    match finish {
        Finish::Stop => "stop",
        Finish::Length => "length",
    }
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: CachedTokens,
}

#[derive(Serialize)]
struct CachedTokens {
    cached_tokens: u32,
}

impl From<&AnswerSummary> for Usage {
    fn from(summary: &AnswerSummary) -> Self {
        Self {
            prompt_tokens: summary.prompt_tokens,
            completion_tokens: summary.count,
            total_tokens: summary.prompt_tokens + summary.count,
            prompt_tokens_details: CachedTokens { cached_tokens: summary.cached_tokens },
        }
    }
}

/// The `yuccanotch` member at the end of a complete answer; an answer without it is not billable.
#[derive(Serialize)]
struct SummaryBody<'a> {
    request: RequestId,
    version: &'a str,
    tokens: u32,
    digest: String,
    attempts: u32,
    chain: Vec<&'a str>,
}

impl<'a> SummaryBody<'a> {
    fn new(job: &'a ChatJob, summary: &'a AnswerSummary) -> Self {
        Self {
            request: job.request,
            version: summary.version.as_str(),
            tokens: summary.count,
            digest: summary.digest.to_string(),
            attempts: summary.attempts,
            chain: summary.chain.iter().map(|hop| hop.server.as_str()).collect(),
        }
    }
}
