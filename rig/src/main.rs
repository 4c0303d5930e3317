//! `guavahold-rig`: stand-ins, demo and load tool.

fn main() {}
