//! Service discovery: the list of endpoints as it is served over HTTP, and a client that follows its changes.

pub mod list;
