//! The choice of the model version that new requests run on.

use crate::name::ModelName;
use crate::name::ModelVersion;

use super::router::Router;

impl Router {
    /// Returns the version that new requests to a model run on.
    ///
    /// That is the declared version once usable servers hold all its layers, and until then another
    /// version of which they hold all layers. If there is none, it is the declared version.
    pub fn version(&self, model: &ModelName, declared: &ModelVersion, layers: u16) -> ModelVersion {
        self.table.whole_version(model, declared, layers).unwrap_or(declared).clone()
    }
}
