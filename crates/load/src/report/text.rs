//! Report as text.

use std::fmt;
use std::fmt::Write;

use super::figures::Report;
use super::latency::Quantiles;
use crate::teams;

impl Report {
    /// Formats the report as text.
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        self.write_text(&mut out).expect("writing to a string does not fail");
        out
    }

    fn write_text(&self, out: &mut String) -> fmt::Result {
        writeln!(out, "{} (seed {}, {})", self.title, self.seed, self.policy)?;
        self.write_chat(out)?;
        self.write_teams(out)?;
        self.write_calls(out)?;
        self.write_faults(out)?;
        self.write_store_and_callers(out)?;
        self.write_promises(out)
    }

    fn write_chat(&self, out: &mut String) -> fmt::Result {
        let chat = &self.chat;
        writeln!(
            out,
            "models    {} sent, {} whole, {} refused, {} broken, {} late, {} resumed",
            chat.sent, chat.whole, chat.refused, chat.broken, chat.late, chat.resumed
        )?;
        writeln!(
            out,
            "tokens/s  {:.0} received, {:.0} offered, {:.0} bound, {:.3} of the bound, \
             {:.3} made per token received",
            chat.tokens_per_s,
            chat.offered_tokens_per_s,
            chat.bound_tokens_per_s,
            chat.share_of_bound,
            chat.work_per_token
        )?;
        write_quantiles(out, "first token", &chat.first_token_ms)?;
        write_quantiles(out, "inter-token", &chat.inter_token_ms)
    }

    fn write_teams(&self, out: &mut String) -> fmt::Result {
        for (team, figures) in &self.teams {
            teams::write_team_text(out, &format!("team      {team}"), figures)?;
        }
        if let Some(flood) = &self.flood {
            teams::write_flood_text(out, flood)?;
        }
        Ok(())
    }

    fn write_calls(&self, out: &mut String) -> fmt::Result {
        let calls = &self.calls;
        writeln!(
            out,
            "services  {} sent, {} answered, {} refused ({} unknown), {} broken",
            calls.sent, calls.answered, calls.refused, calls.unknown, calls.broken
        )?;
        write_quantiles(out, "call", &calls.answer_ms)?;
        for (reason, count) in &self.refusals {
            writeln!(out, "refused   {count:>6}  {reason}")?;
        }
        Ok(())
    }

    fn write_faults(&self, out: &mut String) -> fmt::Result {
        for fault in &self.faults {
            let back = fault.back_ms.map_or("not seen".to_owned(), |ms| format!("{ms} ms"));
            writeln!(
                out,
                "fault     {:>6} ms  {} for {} ms: {} resumed, pause p50 {:.0} p95 {:.0} ms, \
                 throughput back after {back}",
                fault.at_ms,
                fault.label,
                fault.for_ms,
                fault.resumed,
                fault.pause_ms.p50,
                fault.pause_ms.p95
            )?;
        }
        Ok(())
    }

    fn write_store_and_callers(&self, out: &mut String) -> fmt::Result {
        let store = self.store.unwrap_or_default();
        writeln!(
            out,
            "store     {} reads, {} writes, {} watches, {} lease calls, {} over rate, {} faulted",
            store.reads, store.writes, store.watches, store.leases, store.over_rate, store.faulted
        )?;
        writeln!(
            out,
            "callers   {} connections, {} late arrivals; {} engine crashes",
            self.connections, self.delayed_arrivals, self.crashes
        )
    }

    fn write_promises(&self, out: &mut String) -> fmt::Result {
        for example in &self.broken_examples {
            writeln!(out, "BROKEN    {example}")?;
        }
        for (kind, count) in &self.broken {
            writeln!(out, "BROKEN    {count:>6}  {kind}")?;
        }
        if self.broken.is_empty() {
            writeln!(out, "all promises held")?;
        }
        Ok(())
    }
}

fn write_quantiles(out: &mut String, name: &str, q: &Quantiles) -> fmt::Result {
    writeln!(
        out,
        "{name:<12}p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        q.p50, q.p95, q.p99, q.max
    )
}
