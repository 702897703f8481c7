//! Checks of layer receipts and end frames.

use crate::defect::planted;
use crate::engine::EndFrame;
use crate::engine::Hop;
use crate::engine::LayerReceipt;
use crate::engine::TokenFrame;
use crate::name::ModelVersion;
use crate::name::ServerName;
use crate::reason::FrameFault;

/// Mismatch between a token's receipt and the chain, with the server that caused it if known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ReceiptFault {
    pub(super) fault: FrameFault,
    pub(super) server: Option<ServerName>,
}

/// Checks that every layer ran exactly once, in order, on its server of the chain and with
/// `version`.
pub(super) fn check_receipt(
    frame: &TokenFrame,
    chain: &[Hop],
    layers: u16,
    version: &ModelVersion,
) -> Result<(), ReceiptFault> {
    if planted!(ReceiptUnchecked) {
        return Ok(());
    }
    let mut next = 0;
    for entry in &frame.receipt {
        check_entry(entry, chain, version)?;
        let in_order = entry.layers.first == next && !entry.layers.is_empty();
        if !in_order {
            return Err(fault(FrameFault::Layers, entry));
        }
        next = entry.layers.end;
    }
    if next != layers {
        return Err(ReceiptFault { fault: FrameFault::Layers, server: None });
    }
    Ok(())
}

fn check_entry(
    entry: &LayerReceipt,
    chain: &[Hop],
    version: &ModelVersion,
) -> Result<(), ReceiptFault> {
    let Some(hop) = chain.iter().find(|hop| hop.server == entry.server) else {
        return Err(ReceiptFault { fault: FrameFault::WrongServer, server: None });
    };
    if entry.version != *version {
        return Err(fault(FrameFault::WrongVersion, entry));
    }
    if entry.layers != hop.layers {
        return Err(fault(FrameFault::Layers, entry));
    }
    Ok(())
}

fn fault(fault: FrameFault, entry: &LayerReceipt) -> ReceiptFault {
    ReceiptFault { fault, server: Some(entry.server.clone()) }
}

/// Checks the token count of an end frame against the number of tokens released.
pub(super) fn check_count(frame: &EndFrame, released: u32) -> Result<(), FrameFault> {
    if frame.count == released || planted!(EndCountUnchecked) {
        Ok(())
    } else {
        Err(FrameFault::Count)
    }
}
