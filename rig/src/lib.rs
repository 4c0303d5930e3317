//! Stand-ins for the systems around guavahold, a demo and a load tool.
