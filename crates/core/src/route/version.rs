//! The version that new requests run on.

use crate::name::ModelName;
use crate::name::ModelVersion;

use super::router::Router;

impl Router {
    /// Returns the version that new requests to a model run on.
    ///
    /// That is the declared one once usable servers hold all its layers; until then, the version
    /// that they still hold whole. When there is none, it is the declared one.
    pub fn version(&self, model: &ModelName, declared: &ModelVersion, layers: u16) -> ModelVersion {
        self.table.whole_version(model, declared, layers).unwrap_or(declared).clone()
    }
}
