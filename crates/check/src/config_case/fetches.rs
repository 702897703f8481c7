//! Fetches of manifests and chunks, which may fail or return corrupted bytes.

use rand::Rng;
use yuccanotch_core::config::adopter::Source;
use yuccanotch_core::config::manifest::ChunkRef;
use yuccanotch_core::config::manifest::Manifest;
use yuccanotch_core::config::manifest::MANIFEST_KEY;
use yuccanotch_core::config::messages::WireChunk;
use yuccanotch_core::config::store_call::StoreAnswer;
use yuccanotch_core::config::store_call::StoreCall;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::name::HostName;

use super::hosts::FakeHost;
use super::Simulation;

impl Simulation<'_> {
    /// Fetches the manifest; returns `None` when no answer arrives.
    pub(super) fn fetch_manifest(&mut self, from: &Source) -> Option<Option<Manifest>> {
        match from {
            Source::Store => {
                let call = StoreCall::Get(MANIFEST_KEY.to_owned());
                match self.store.call(&call, self.faults_enabled, &mut self.rng) {
                    StoreAnswer::Value(found) => {
                        Some(found.and_then(|found| Manifest::decode(&found.value).ok()))
                    }
                    _ => None,
                }
            }
            Source::Peer(peer) => {
                if self.faults_enabled && self.rng.random_bool(0.1) {
                    return None;
                }
                let active = self.find_host(peer)?.adopter.active();
                Some(active.map(|active| active.manifest().clone()))
            }
        }
    }

    /// Fetches chunks; those that are missing at `from` are left out.
    pub(super) fn fetch_chunks(&mut self, from: &Source, chunks: &[ChunkRef]) -> Vec<WireChunk> {
        let mut found = Vec::new();
        for chunk in chunks {
            let bytes = match from {
                Source::Store => self.fetch_store_chunk(&chunk.key()),
                Source::Peer(peer) => self.fetch_peer_chunk(peer, &chunk.digest),
            };
            found.extend(bytes.map(|bytes| WireChunk { digest: chunk.digest, bytes }));
        }
        found
    }

    fn fetch_store_chunk(&mut self, key: &str) -> Option<Vec<u8>> {
        let call = StoreCall::Get(key.to_owned());
        match self.store.call(&call, self.faults_enabled, &mut self.rng) {
            StoreAnswer::Value(found) => found.map(|found| found.value),
            _ => None,
        }
    }

    fn fetch_peer_chunk(&mut self, peer: &HostName, digest: &Digest) -> Option<Vec<u8>> {
        let is_corrupted = self.faults_enabled && self.rng.random_bool(0.05);
        let active = self.find_host(peer)?.adopter.active()?;
        let mut bytes = active.chunks().get(digest)?.to_vec();
        if is_corrupted {
            bytes.push(b' ');
        }
        Some(bytes)
    }

    fn find_host(&self, name: &HostName) -> Option<&FakeHost> {
        self.hosts.iter().find(|host| host.name == *name)
    }
}
