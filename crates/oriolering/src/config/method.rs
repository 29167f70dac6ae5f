//! The HTTP methods that settings can name.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An HTTP request method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// Retrieves a resource.
    Get,
    /// Retrieves the headers of a resource.
    Head,
    /// Retrieves the communication options of a resource.
    Options,
    /// Replaces a resource.
    Put,
    /// Deletes a resource.
    Delete,
    /// Modifies a part of a resource.
    Patch,
    /// Submits data to be processed.
    Post,
}

impl Method {
    /// Returns the method as written in a request.
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
