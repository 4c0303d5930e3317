//! Path from an entry to a target.

/// Path by which an entry connects to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Path {
    /// The entry's own connections.
    #[default]
    Direct,
    /// Connections of peers, which reach the target while this entry does not.
    Relayed,
    /// None: neither this entry nor the peers that it asked connect to the target.
    None,
}

/// A change that follows from an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// New connections go through peers.
    CutOff,
    /// Open connections of this entry hang as well: nothing arrives on them while peers reach the
    /// target.
    Hanging,
    /// New connections are the entry's own again.
    Restored,
}
