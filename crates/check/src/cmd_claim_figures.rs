//! `yuccanotch-check claim-figures`: measures the cost of claims.

use std::collections::BTreeMap;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::claim::ClaimKey;
use yuccanotch_core::claim::ClaimState;
use yuccanotch_core::claim::Holder;
use yuccanotch_core::claim::Nonce;
use yuccanotch_core::claim::Op;
use yuccanotch_core::claim::OpKind;
use yuccanotch_core::claim::RequestDigest;
use yuccanotch_core::claim::SlotId;
use yuccanotch_core::claim::SlotSettings;
use yuccanotch_core::claim::SlotWriter;
use yuccanotch_core::claim::StoreAnswer;
use yuccanotch_core::claim::StoreCall;
use yuccanotch_core::claim::StoredAnswer;
use yuccanotch_core::claim::Ticket;
use yuccanotch_core::claim::WriteBudget;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::name::HostName;
use yuccanotch_core::store::Versioned;

use crate::command_line::should_run;
use crate::error::CliResult;

const USAGE: &str = "
Runs claims on one slot and measures store writes, bytes and processor time.

Usage: yuccanotch-check claim-figures

Each row claims and finishes 8192 keys in batches of the given size, with
answers of 120 bytes, and then takes over the slot with a new writer.
";

const CLAIMS_PER_ROW: usize = 8_192;
const BATCH_SIZES: [usize; 5] = [1, 4, 16, 64, 256];
const ANSWER_BYTES: usize = 120;
const NOW: Millis = Millis(1);

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the command line is invalid.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    if !should_run(parser)? {
        outln!("{}", USAGE.trim());
        return Ok(());
    }
    outln!("batch  writes/claim  bytes/claim  bytes/write  CPU us/claim  takeover reads  records");
    for batch in BATCH_SIZES {
        print_row(batch);
    }
    Ok(())
}

/// Writer of one slot on a store in memory that never fails.
struct SlotBench {
    writer: SlotWriter,
    values: BTreeMap<String, Versioned>,
    budget: WriteBudget,
    rng: Pcg64Mcg,
    writes: u64,
}

impl SlotBench {
    fn new(values: BTreeMap<String, Versioned>) -> Self {
        Self {
            writer: SlotWriter::new(SlotId(0), SlotSettings::default()),
            values,
            budget: WriteBudget::new(u32::MAX, u32::MAX),
            rng: Pcg64Mcg::seed_from_u64(1),
            writes: 0,
        }
    }

    fn commit(&mut self, ops: Vec<Op>) {
        for (i, op) in ops.into_iter().enumerate() {
            self.writer.submit(NOW, Ticket(i as u64), 0, op).expect("the queue has room");
        }
        while let (_, Some(call)) = self.writer.poll(NOW, NOW, &mut self.budget, &mut self.rng) {
            let answer = self.call(call);
            self.writer.on_store(NOW, answer);
        }
    }

    fn call(&mut self, call: StoreCall) -> StoreAnswer {
        match call {
            StoreCall::Get { key } => StoreAnswer::Got(Ok(self.values.get(&key).cloned())),
            StoreCall::Swap { key, value, expect } => {
                self.writes += 1;
                let version = expect.next();
                self.values.insert(key, Versioned { version, value });
                StoreAnswer::Swapped(Ok(version))
            }
            StoreCall::Delete { key } => {
                self.values.remove(&key);
                StoreAnswer::Deleted
            }
        }
    }
}

fn random_claim(rng: &mut Pcg64Mcg) -> Op {
    let host = HostName::new("entry-zona-gaucha-1");
    Op {
        key: ClaimKey(rng.random()),
        digest: RequestDigest(rng.random()),
        holder: Holder { host, incarnation: Incarnation(rng.random()) },
        nonce: Nonce(rng.random()),
        kind: OpKind::Claim,
    }
}

fn print_row(batch: usize) {
    let mut bench = SlotBench::new(BTreeMap::new());
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let answer = StoredAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: vec![b'x'; ANSWER_BYTES],
    };
    let start = Instant::now();
    for _ in 0..CLAIMS_PER_ROW / batch {
        let ops: Vec<Op> = (0..batch).map(|_| random_claim(&mut rng)).collect();
        bench.commit(ops.clone());
        let state = ClaimState::Answered(answer.clone());
        let finish = |op| Op { kind: OpKind::Finish { state: state.clone() }, ..op };
        bench.commit(ops.into_iter().map(finish).collect());
    }
    let cpu_us_per_claim = start.elapsed().as_micros() as f64 / CLAIMS_PER_ROW as f64;
    let counts = bench.writer.counts();
    let per_claim = |n: u64| n as f64 / CLAIMS_PER_ROW as f64;
    let mut takeover = SlotBench::new(bench.values);
    takeover.commit(vec![random_claim(&mut rng)]);
    outln!(
        "{batch:>5}  {:>12.3}  {:>11.0}  {:>11.0}  {cpu_us_per_claim:>12.1}  {:>14}  {:>7}",
        per_claim(bench.writes),
        per_claim(counts.written_bytes),
        counts.written_bytes as f64 / bench.writes as f64,
        takeover.writer.counts().reads,
        takeover.writer.len(),
    );
}
