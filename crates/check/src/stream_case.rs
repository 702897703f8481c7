//! Randomised case: one streamed answer over chains that fail, stall or slow down, or that mix up,
//! repeat, reorder, truncate or corrupt frames.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smallvec::smallvec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::digest::TokenDigest;
use yuccanotch_core::engine::Chain;
use yuccanotch_core::engine::EndFrame;
use yuccanotch_core::engine::EngineFault;
use yuccanotch_core::engine::ErrorFrame;
use yuccanotch_core::engine::Finish;
use yuccanotch_core::engine::Frame;
use yuccanotch_core::engine::Hop;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::LayerReceipt;
use yuccanotch_core::engine::TokenFrame;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::reason::RetryReason;
use yuccanotch_core::stream::Action;
use yuccanotch_core::stream::Actions;
use yuccanotch_core::stream::AnswerStream;
use yuccanotch_core::stream::AttemptPlan;
use yuccanotch_core::stream::Closing;
use yuccanotch_core::stream::Event;
use yuccanotch_core::stream::StreamSpec;

use crate::case::CaseResult;
use crate::trace::Trace;

const REQUEST: RequestId = RequestId(1);
const OTHER_REQUEST: RequestId = RequestId(2);
const LAYERS: u16 = 12;
const STAGES: u16 = 3;
const MAX_ATTEMPTS: u32 = 12;
/// Time between two tokens of an undisturbed attempt.
const TOKEN_GAP_MS: u64 = 10;
/// Time from the start of an attempt to its first token.
const PREFILL_MS: u64 = 40;

/// Fault of one frame, or of an attempt from one frame on.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A stage of the chain reports that it lost another.
    StageLost,
    /// No frame arrives for a long time.
    Stalled,
    /// All further tokens arrive with longer gaps.
    SlowedDown,
    /// The connection closes without an end frame.
    Truncated,
    /// The frame arrives twice.
    Duplicated,
    /// The frame arrives after the next one.
    Reordered,
    /// A frame of another request arrives on the connection.
    OtherRequest,
    /// A frame of the previous attempt arrives.
    EarlierAttempt,
    /// A receipt of the frame names another model version.
    WrongVersion,
    /// The receipt of one stage is missing.
    MissingLayer,
    /// A receipt of the frame names a server outside the chain.
    UnknownServer,
    /// The frame does not arrive.
    Dropped,
    /// The token's text is changed.
    Corrupted,
    /// The end frame has a wrong count of tokens; a token frame with this fault is dropped.
    WrongCount,
    /// The frame can't be parsed.
    Malformed,
}

const FAULTS: [Fault; 15] = [
    Fault::StageLost,
    Fault::Stalled,
    Fault::SlowedDown,
    Fault::Truncated,
    Fault::Duplicated,
    Fault::Reordered,
    Fault::OtherRequest,
    Fault::EarlierAttempt,
    Fault::WrongVersion,
    Fault::MissingLayer,
    Fault::UnknownServer,
    Fault::Dropped,
    Fault::Corrupted,
    Fault::WrongCount,
    Fault::Malformed,
];

/// State of one run.
struct Simulation {
    rng: Pcg64Mcg,
    now: Millis,
    stream: AnswerStream,
    /// Events in transit, by time of arrival and order of sending.
    in_flight: BTreeMap<(Millis, u64), Event>,
    sent_count: u64,
    /// Number of tokens in the whole answer.
    answer_tokens: u32,
    remaining_faults: u32,
    /// Time from which the servers hold only the next version.
    version_change: Option<Millis>,
    /// Version and attempt that produced each released token.
    token_sources: Vec<(ModelVersion, Attempt)>,
    /// Last attempt with a corrupted token.
    corrupted_attempt: Option<Attempt>,
    closing: Option<Closing>,
    failure: Option<RefusalReason>,
}

/// Runs one answer and checks that the caller receives each token once, that all tokens come from
/// one model version, and that nothing follows the end.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let answer_tokens = rng.random_range(1..40);
    let remaining_faults = rng.random_range(0..6);
    let version_change = rng.random_bool(0.3).then(|| Millis(rng.random_range(0..600)));
    let deadline = Millis(if rng.random_bool(0.1) { 300 } else { 120_000 });
    let caller_leaves_at = rng.random_bool(0.05).then(|| Millis(rng.random_range(0..500)));
    trace.add(format!(
        "{answer_tokens} tokens, {remaining_faults} faults, version change {version_change:?}, \
         deadline {deadline}, caller leaves {caller_leaves_at:?}"
    ));
    let stream = AnswerStream::new(StreamSpec {
        request: REQUEST,
        version: ModelVersion::new("v1"),
        layers: LAYERS,
        max_tokens: 64,
        deadline,
    });
    let mut sim = Simulation {
        rng,
        now: Millis::ZERO,
        stream,
        in_flight: BTreeMap::new(),
        sent_count: 0,
        answer_tokens,
        remaining_faults,
        version_change,
        token_sources: Vec::new(),
        corrupted_attempt: None,
        closing: None,
        failure: None,
    };
    if let Some(at) = caller_leaves_at {
        sim.send(at, Event::CallerGone);
    }
    sim.run(trace)?;
    sim.check_end(deadline, caller_leaves_at)
}

impl Simulation {
    fn run(&mut self, trace: &mut Trace) -> CaseResult {
        self.begin_next_attempt(trace)?;
        while !self.stream.is_ended() {
            let wake_at = self.stream.wake_at().ok_or("no wake-up although the answer goes on")?;
            let event = match self.in_flight.first_entry() {
                Some(entry) if entry.key().0 <= wake_at => {
                    let ((at, _), event) = entry.remove_entry();
                    self.now = self.now.max(at);
                    event
                }
                _ => {
                    self.now = self.now.max(wake_at);
                    Event::Tick
                }
            };
            trace.add(format!("{}: {event:?}", self.now));
            let actions = self.stream.on_event(self.now, event);
            self.apply(actions, trace)?;
        }
        self.drain_in_flight()
    }

    /// Delivers the events still in transit and checks that none causes output to the caller.
    fn drain_in_flight(&mut self) -> CaseResult {
        for ((at, _), event) in std::mem::take(&mut self.in_flight) {
            let actions = self.stream.on_event(at, event);
            let reached_caller = actions.iter().any(|action| {
                matches!(action, Action::Release(_) | Action::Close(_) | Action::Fail(_))
            });
            if reached_caller {
                return Err("the caller received output after the end".to_owned());
            }
        }
        Ok(())
    }

    fn apply(&mut self, actions: Actions, trace: &mut Trace) -> CaseResult {
        for action in actions {
            trace.add(format!("  {action:?}"));
            match action {
                Action::Release(token) => self.on_release(&token)?,
                Action::Close(closing) => self.closing = Some(closing),
                Action::Fail(reason) => self.failure = Some(reason),
                Action::Retry { reason: RetryReason::LinkDegraded, .. }
                    if self.rng.random_bool(0.5) =>
                {
                    self.stream.keep_chain();
                }
                Action::Retry { .. } => self.begin_next_attempt(trace)?,
                Action::Cancel(_) | Action::Count(_) => {}
            }
        }
        Ok(())
    }

    fn on_release(&mut self, token: &str) -> CaseResult {
        let tokens = self.stream.released();
        let index = tokens.len() - 1;
        let attempt = self.stream.attempt();
        let version = self.stream.version().clone();
        let expected = token_text(&tokens[..index], attempt, &version);
        if token != expected && self.corrupted_attempt != Some(attempt) {
            return Err(format!("token {index} is {token:?} instead of {expected:?}"));
        }
        self.token_sources.push((version, attempt));
        Ok(())
    }

    fn served_version(&self) -> ModelVersion {
        let changed = self.version_change.is_some_and(|at| self.now >= at);
        ModelVersion::new(if changed { "v2" } else { "v1" })
    }

    fn begin_next_attempt(&mut self, trace: &mut Trace) -> CaseResult {
        if self.stream.attempt().0 >= MAX_ATTEMPTS {
            let actions = self.stream.fail(RefusalReason::RetriesExhausted);
            return self.apply(actions, trace);
        }
        let served = self.served_version();
        if *self.stream.version() != served && !self.stream.change_version(&served) {
            let actions = self.stream.fail(RefusalReason::VersionGone);
            return self.apply(actions, trace);
        }
        let plan = AttemptPlan {
            chain: self.random_chain(),
            first_token: Millis(PREFILL_MS),
            step_us: (TOKEN_GAP_MS * 1000) as u32,
        };
        let chain = plan.chain.clone();
        let (attempt, actions) = self.stream.begin_attempt(self.now, plan);
        self.apply(actions, trace)?;
        self.schedule_attempt(attempt, &chain);
        Ok(())
    }

    fn random_chain(&mut self) -> Chain {
        let layers_per_stage = LAYERS / STAGES;
        let hop = |stage: u16, replica: u16| Hop {
            server: ServerName::new(&format!("s{stage}-{replica}")),
            address: String::new(),
            layers: LayerRange::new(stage * layers_per_stage, (stage + 1) * layers_per_stage),
        };
        (0..STAGES).map(|stage| hop(stage, self.rng.random_range(0..3))).collect()
    }

    /// Schedules all frames of an attempt, with faults.
    fn schedule_attempt(&mut self, attempt: Attempt, chain: &Chain) {
        let version = self.stream.version().clone();
        let mut tokens = self.stream.resume_tokens().to_vec();
        let mut at = self.now + Millis(PREFILL_MS);
        let mut step = TOKEN_GAP_MS;
        while (tokens.len() as u32) < self.answer_tokens {
            let frame = token_frame(&tokens, attempt, chain, &version);
            tokens.push(frame.token.clone());
            let fault = self.draw_fault();
            match fault {
                None => self.send_token(at, attempt, frame),
                Some(Fault::SlowedDown) => {
                    step *= 12;
                    self.send_token(at, attempt, frame);
                }
                Some(fault) => {
                    if !self.send_faulty(fault, at, attempt, frame, chain) {
                        return;
                    }
                }
            }
            at = at + Millis(step);
        }
        let wrong_count = matches!(self.draw_fault(), Some(Fault::WrongCount));
        let count = tokens.len() as u32 + u32::from(wrong_count);
        self.send(at, Event::Frame(attempt, Frame::End(end_frame(attempt, count, &tokens))));
        self.send(at, Event::Closed(attempt));
    }

    fn draw_fault(&mut self) -> Option<Fault> {
        if self.remaining_faults == 0 || !self.rng.random_bool(0.15) {
            return None;
        }
        self.remaining_faults -= 1;
        Some(FAULTS[self.rng.random_range(0..FAULTS.len())])
    }

    /// Sends a frame with a fault; returns whether the attempt continues.
    fn send_faulty(
        &mut self,
        fault: Fault,
        at: Millis,
        attempt: Attempt,
        mut frame: TokenFrame,
        chain: &Chain,
    ) -> bool {
        match fault {
            Fault::StageLost => {
                let server = chain[self.rng.random_range(0..chain.len())].server.clone();
                let fault = EngineFault::StageLost;
                let lost = ErrorFrame { request: REQUEST, attempt, fault, server };
                self.send(at, Event::Frame(attempt, Frame::Error(lost)));
                return false;
            }
            Fault::Stalled => {
                // The attempt resumes long after the stream has abandoned it.
                self.send_token(at + Millis(20_000), attempt, frame);
                return false;
            }
            Fault::Truncated => {
                self.send(at, Event::Closed(attempt));
                return false;
            }
            Fault::Duplicated => {
                self.send_token(at, attempt, frame.clone());
                self.send_token(at + Millis(3), attempt, frame);
            }
            Fault::Reordered => self.send_token(at + Millis(TOKEN_GAP_MS * 3 / 2), attempt, frame),
            Fault::OtherRequest => {
                let mut crossed = frame.clone();
                crossed.request = OTHER_REQUEST;
                crossed.token = " crossed".to_owned();
                self.send_token(at, attempt, crossed);
                self.send_token(at, attempt, frame);
            }
            Fault::EarlierAttempt => {
                let mut late = frame.clone();
                late.attempt = Attempt(attempt.0 - 1);
                late.token = " late".to_owned();
                self.send_token(at, late.attempt, late);
                self.send_token(at, attempt, frame);
            }
            Fault::WrongVersion => {
                frame.receipt[1].version = ModelVersion::new("v0");
                frame.token = " wrong-version".to_owned();
                self.send_token(at, attempt, frame);
            }
            Fault::MissingLayer => {
                frame.receipt.remove(self.rng.random_range(0..usize::from(STAGES)));
                frame.token = " missing-layer".to_owned();
                self.send_token(at, attempt, frame);
            }
            Fault::UnknownServer => {
                frame.receipt[2].server = ServerName::new("stranger");
                frame.token = " stranger".to_owned();
                self.send_token(at, attempt, frame);
            }
            Fault::Dropped | Fault::SlowedDown | Fault::WrongCount => {}
            Fault::Corrupted => {
                frame.token.push('x');
                self.corrupted_attempt = Some(attempt);
                self.send_token(at, attempt, frame);
            }
            Fault::Malformed => self.send(at, Event::Malformed(attempt)),
        }
        true
    }

    fn send_token(&mut self, at: Millis, attempt: Attempt, frame: TokenFrame) {
        self.send(at, Event::Frame(attempt, Frame::Token(frame)));
    }

    fn send(&mut self, at: Millis, event: Event) {
        self.sent_count += 1;
        self.in_flight.insert((at, self.sent_count), event);
    }

    fn check_end(&self, deadline: Millis, caller_leaves_at: Option<Millis>) -> CaseResult {
        if self.now > deadline {
            return Err(format!("ended at {} after the deadline", self.now));
        }
        if self.token_sources.windows(2).any(|pair| pair[0].0 != pair[1].0) {
            return Err("the answer mixes model versions".to_owned());
        }
        match (&self.closing, self.failure) {
            (Some(closing), None) => self.check_closing(closing),
            (None, Some(reason)) => self.check_failure(reason, deadline, caller_leaves_at),
            _ => Err("the caller got neither one closing frame nor one failure".to_owned()),
        }
    }

    fn check_closing(&self, closing: &Closing) -> CaseResult {
        let tokens = self.stream.released();
        if tokens.len() as u32 != self.answer_tokens || closing.count != self.answer_tokens {
            let text = format!(
                "but {} were released and the closing frame says {}",
                tokens.len(),
                closing.count
            );
            return Err(format!("the answer has {} tokens, {text}", self.answer_tokens));
        }
        if closing.digest != digest_of(tokens) {
            return Err(
                "the digest in the closing frame is not that of the released tokens".to_owned()
            );
        }
        Ok(())
    }

    fn check_failure(
        &self,
        reason: RefusalReason,
        deadline: Millis,
        caller_leaves_at: Option<Millis>,
    ) -> CaseResult {
        let justified = match reason {
            RefusalReason::DeadlineExceeded => self.now >= deadline,
            RefusalReason::CallerGone => caller_leaves_at.is_some_and(|at| self.now >= at),
            RefusalReason::VersionGone => self.version_change.is_some_and(|at| self.now >= at),
            RefusalReason::ServerFailed => self.corrupted_attempt.is_some(),
            _ => false,
        };
        if justified {
            Ok(())
        } else {
            Err(format!("failed with {reason} at {} although nothing caused it", self.now))
        }
    }
}

/// Returns the token that an engine produces after `tokens`; it differs between attempts.
fn token_text(tokens: &[String], attempt: Attempt, version: &ModelVersion) -> String {
    let prefix = digest_of(tokens).to_string();
    format!(" {}-{attempt}-{version}", &prefix[..8])
}

fn digest_of(tokens: &[String]) -> Digest {
    let mut digest = TokenDigest::default();
    tokens.iter().for_each(|token| digest.push(token));
    digest.finish()
}

fn token_frame(
    tokens: &[String],
    attempt: Attempt,
    chain: &Chain,
    version: &ModelVersion,
) -> TokenFrame {
    let receipt = |hop: &Hop| LayerReceipt {
        server: hop.server.clone(),
        layers: hop.layers,
        version: version.clone(),
    };
    TokenFrame {
        request: REQUEST,
        attempt,
        index: tokens.len() as u32,
        token: token_text(tokens, attempt, version),
        receipt: smallvec![receipt(&chain[0]), receipt(&chain[1]), receipt(&chain[2])],
    }
}

fn end_frame(attempt: Attempt, count: u32, tokens: &[String]) -> EndFrame {
    EndFrame {
        request: REQUEST,
        attempt,
        count,
        digest: digest_of(tokens),
        finish: Finish::Stop,
        prompt_tokens: 3,
        cached_tokens: 0,
    }
}
