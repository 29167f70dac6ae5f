//! The methods of HTTP requests that settings name.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A method of an HTTP request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// Reads a resource.
    Get,
    /// Reads the head of a resource.
    Head,
    /// Asks what a resource offers.
    Options,
    /// Replaces a resource.
    Put,
    /// Removes a resource.
    Delete,
    /// Changes a part of a resource.
    Patch,
    /// Runs an action.
    Post,
}

impl Method {
    /// Returns the method as it stands in a request.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Options => "OPTIONS",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
            Self::Patch => "PATCH",
            Self::Post => "POST",
        }
    }
}
