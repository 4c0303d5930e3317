//! Steps of a run of the simulated entries.

#[derive(Clone, Debug)]
pub enum Step {
    /// A number of steps pass without a fault.
    Pass(u32),
    /// Two entries cannot reach each other: messages are lost and dialling fails.
    Cut(usize, usize),
    Heal(usize, usize),
    /// Open connections between two entries lose all messages; new ones work.
    Silence(usize, usize),
    Restart(usize),
    /// The second entry is missing from the first one's list of VMs until the end of the faults.
    Unlist(usize, usize),
}
