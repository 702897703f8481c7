//! Invariants that hold at the end of a run.

use std::collections::BTreeMap;

use yuccanotch_core::claim::decode_segment;
use yuccanotch_core::claim::head_key;
use yuccanotch_core::claim::segment_key;
use yuccanotch_core::claim::ClaimState;
use yuccanotch_core::claim::Record;
use yuccanotch_core::claim::SlotHead;
use yuccanotch_core::claim::SlotId;
use yuccanotch_core::claim::StoreAnswer;
use yuccanotch_core::claim::StoreCall;
use yuccanotch_core::ids::KeyVersion;
use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;

use super::callers::Response;
use super::simulation::Simulation;
use crate::case::CaseResult;

/// Number of sends within which a final request has to settle, unless its outcome is unknown.
const MAX_SENDS_TO_SETTLE: u32 = 3;

impl Simulation<'_> {
    /// Checks that each final request was answered after few sends.
    pub(super) fn check_settled(&mut self) -> CaseResult {
        for (i, request) in self.requests.iter().enumerate().filter(|(_, found)| found.is_final) {
            let Some(response) = &request.response else {
                return Err(format!("request {i} was told nothing after the faults had stopped"));
            };
            let unavailable = RefusalReason::StoreUnavailable;
            if matches!(response, Response::Refused { reason, .. } if *reason == unavailable) {
                return Err(format!(
                    "request {i} was told {response:?} after the faults had stopped"
                ));
            }
            if request.sends > MAX_SENDS_TO_SETTLE && *response != self.unknown_response() {
                return Err(format!("request {i} settled only after {} sends", request.sends));
            }
        }
        Ok(())
    }

    fn unknown_response(&self) -> Response {
        Response::Refused { outcome: Outcome::Unknown, reason: RefusalReason::OutcomeUnknown }
    }

    /// Checks that the stored records agree with what the backend server executed.
    pub(super) fn check_store(&mut self) -> CaseResult {
        let mut records = BTreeMap::new();
        for slot in 0..self.plan.slots {
            for record in self.read_records(SlotId(slot))? {
                records.insert(record.key, record);
            }
        }
        for ((key, digest), execution) in &self.executions {
            if execution.dispatches == 0 || self.bound_by_key.contains_key(key) {
                continue;
            }
            let Some(record) = records.get(key) else {
                return Err("a dispatched call has no record".to_owned());
            };
            let answered = matches!(&record.state,
                ClaimState::Answered(answer) if answer.body != execution.answer);
            let refused = matches!(record.state, ClaimState::Tombstone(_));
            if record.digest.0 != *digest || answered || refused {
                return Err(format!("a dispatched call is recorded as {record:?}"));
            }
        }
        Ok(())
    }

    fn read_records(&mut self, slot: SlotId) -> Result<Vec<Record>, String> {
        let head = match self.read_value(head_key(slot)) {
            Some(value) => SlotHead::decode(&value).map_err(|e| e.to_string())?,
            None => SlotHead::default(),
        };
        let mut records = Vec::new();
        for segment in &head.sealed {
            let key = segment_key(slot, segment.id);
            let value = self.read_value(key).ok_or("a listed segment is missing")?;
            let sealed = decode_segment(&value);
            records.extend(sealed.map_err(|e| e.to_string())?);
        }
        records.extend(head.open);
        Ok(records)
    }

    fn read_value(&mut self, key: String) -> Option<Vec<u8>> {
        match self.store.call(StoreCall::Get { key }) {
            StoreAnswer::Got(Ok(Some(found))) if found.version > KeyVersion(0) => Some(found.value),
            _ => None,
        }
    }
}
