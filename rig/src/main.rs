//! `guavahold-rig`: stand-ins, demo and load tool.

fn main() -> eyre::Result<()> {
    guavahold_rig::cli::main()
}
