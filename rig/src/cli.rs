//! Command line of `guavahold-rig`.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use crate::load::{LoadOptions, Profile, Schedule};
use crate::{
    Engine, EngineSettings, PlatformSettings, PlatformStandIn, Relay, ServiceSettings,
    ServiceStandIn, StandIn, StandInServer,
};

mod flags {
    #![allow(missing_docs, clippy::pedantic)]

    use std::net::SocketAddr;

    use crate::load::{FaultPlan, RouterKind};
    use crate::slope::Dimension;

    xflags::xflags! {
        /// Stand-ins, demo and load tool for guavahold.
        cmd guavahold-rig {
            /// Serves the platform's object API.
            cmd platform {
                /// Address to listen at.
                optional --listen listen: SocketAddr
                /// Number of changes kept for watches that start at an older version.
                optional --history history: usize
            }
            /// Serves as a simulated model engine.
            cmd engine {
                /// Address to listen at.
                optional --listen listen: SocketAddr
                /// Name of the VM.
                required --name name: String
                /// Model served.
                required --model model: String
                /// Weight version loaded at the start.
                required --weights weights: String
                /// Failure domain.
                optional --domain domain: String
                /// Maximum number of concurrent runs.
                optional --slots slots: usize
                /// Prompt tokens computed per second.
                optional --prefill-rate rate: u32
                /// Milliseconds for each generated token.
                optional --token-ms token_ms: u64
                /// Capacity of the prefix cache, in blocks.
                optional --cache-blocks blocks: usize
                /// Milliseconds by which load reports lag.
                optional --lag-ms lag_ms: u64
                /// Milliseconds to load a weight version.
                optional --load-ms load_ms: u64
                /// Accepts orders with a stale fencing token.
                optional --ignore-fencing
            }
            /// Serves as a simulated plain service.
            cmd service {
                /// Address to listen at.
                optional --listen listen: SocketAddr
                /// Name of the service.
                required --name name: String
                /// Processing time of a GET, in milliseconds.
                optional --read-ms read_ms: u64
                /// Processing time of a request other than GET, in milliseconds.
                optional --write-ms write_ms: u64
            }
            /// Compares the system with a least-loaded router for returning prompts, on loopback.
            cmd demo {}
            /// Runs an open-loop load and reports latency and goodput.
            cmd load {
                /// `kammitsa` or `pluvial`.
                required --profile profile: String
                /// `system`, `least-loaded` or `affinity`.
                optional --router router: RouterKind
                /// `none`, `slow`, `engine-killed`, `domain-cut` or `platform-down`.
                optional --fault fault: FaultPlan
                /// Seed of the schedule.
                optional --seed seed: u64
                /// Length of the schedule, in seconds.
                optional --seconds seconds: u64
                /// Factor on the profile's rates.
                optional --rate rate: f64
                /// Factor on the rates of customer 0 in the second half.
                optional --surge surge: f64
                /// Number of entries.
                optional --entries entries: usize
                /// File for the result as JSON.
                optional --json path: String
                /// File for a plot as SVG.
                optional --svg path: String
            }
            /// Computes the lower bound on recomputed tokens of a schedule without running it.
            cmd floor {
                /// `kammitsa` or `pluvial`.
                required --profile profile: String
                /// Seed of the schedule.
                optional --seed seed: u64
                /// Length of the schedule, in seconds.
                optional --seconds seconds: u64
            }
            /// Benchmarks one entry.
            cmd entry-bench {
                /// File for the result as JSON.
                optional --json path: String
            }
            /// Measures how the cost of an idle entry grows in one dimension.
            cmd slope {
                /// `peers`, `targets`, `customers`, `changes` or `claims`.
                required --of dimension: Dimension
                /// File for the result as JSON.
                optional --json path: String
            }
            /// Relays TCP connections.
            cmd relay {
                /// Address to listen at.
                optional --listen listen: SocketAddr
                /// Address to relay to.
                required --to to: SocketAddr
            }
        }
    }
}

use flags::GuavaholdRigCmd;

/// Parses the command line and runs the command.
///
/// # Errors
/// When the arguments are wrong or the command fails.
pub fn main() -> eyre::Result<()> {
    let flags = flags::GuavaholdRig::from_env_or_exit();
    match flags.subcommand {
        GuavaholdRigCmd::Platform(cmd) => {
            let defaults = PlatformSettings::default();
            let history = cmd.history.unwrap_or(defaults.history);
            let platform = PlatformStandIn::new(&PlatformSettings { history });
            serve(StandInServer::bind(platform, listen_address(cmd.listen))?)
        }
        GuavaholdRigCmd::Engine(cmd) => {
            let listen = listen_address(cmd.listen);
            serve(StandInServer::bind(
                Engine::new(engine_settings(cmd)),
                listen,
            )?)
        }
        GuavaholdRigCmd::Service(cmd) => {
            let mut cfg = ServiceSettings::new(cmd.name);
            cfg.write_time = cmd.write_ms.map_or(cfg.write_time, Duration::from_millis);
            cfg.read_time = cmd.read_ms.map_or(cfg.read_time, Duration::from_millis);
            serve(StandInServer::bind(
                ServiceStandIn::new(cfg),
                listen_address(cmd.listen),
            )?)
        }
        GuavaholdRigCmd::Demo(_) => crate::demo::demo(),
        GuavaholdRigCmd::Load(cmd) => load(cmd),
        GuavaholdRigCmd::Floor(cmd) => {
            let profile = profile_by_name(&cmd.profile)?;
            let length = Duration::from_secs(cmd.seconds.unwrap_or(30));
            let schedule = Schedule::generate(&profile, cmd.seed.unwrap_or(1), length, 1.0, 1.0);
            print_json(&crate::load::recompute_floor(&profile, &schedule), None)
        }
        GuavaholdRigCmd::EntryBench(cmd) => {
            print_json(&crate::entry_bench::entry_bench()?, cmd.json.as_deref())
        }
        GuavaholdRigCmd::Slope(cmd) => {
            print_json(&crate::slope::slope(cmd.of)?, cmd.json.as_deref())
        }
        GuavaholdRigCmd::Relay(cmd) => {
            let server = Relay::bind(listen_address(cmd.listen), cmd.to)?;
            let address = server.stand_in().listen_address();
            serve_at(server, address)
        }
    }
}

fn profile_by_name(name: &str) -> eyre::Result<Profile> {
    Profile::by_name(name).ok_or_else(|| eyre::eyre!("unknown profile {name}"))
}

fn load(cmd: flags::Load) -> eyre::Result<()> {
    let result = crate::load::run(&LoadOptions {
        profile: profile_by_name(&cmd.profile)?,
        router: cmd.router.unwrap_or_default(),
        fault: cmd.fault.unwrap_or_default(),
        seed: cmd.seed.unwrap_or(1),
        length: Duration::from_secs(cmd.seconds.unwrap_or(30)),
        rate: cmd.rate.unwrap_or(1.0),
        surge: cmd.surge.unwrap_or(1.0),
        entries: cmd.entries.unwrap_or(4),
    })?;
    print!("{}", crate::load::render(&result));
    if let Some(path) = cmd.json {
        std::fs::write(path, serde_json::to_string_pretty(&result)?)?;
    }
    if let Some(path) = cmd.svg {
        std::fs::write(path, crate::load::svg(&result))?;
    }
    Ok(())
}

/// Prints a result as JSON and also writes it to `path`, if given.
fn print_json(result: &impl serde::Serialize, path: Option<&str>) -> eyre::Result<()> {
    let text = serde_json::to_string_pretty(result)?;
    println!("{text}");
    if let Some(path) = path {
        std::fs::write(path, text + "\n")?;
    }
    Ok(())
}

/// Address to listen at; without `--listen`, any free port on loopback.
fn listen_address(addr: Option<SocketAddr>) -> SocketAddr {
    addr.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn engine_settings(cmd: flags::Engine) -> EngineSettings {
    let mut cfg = EngineSettings::new(cmd.name, cmd.model, cmd.weights);
    cfg.slots = cmd.slots.unwrap_or(cfg.slots);
    cfg.prefill_rate = cmd.prefill_rate.unwrap_or(cfg.prefill_rate);
    cfg.token_time = cmd.token_ms.map_or(cfg.token_time, Duration::from_millis);
    cfg.cache_blocks = cmd.cache_blocks.unwrap_or(cfg.cache_blocks);
    cfg.report_lag = cmd.lag_ms.map_or(cfg.report_lag, Duration::from_millis);
    cfg.weight_load_time = cmd
        .load_ms
        .map_or(cfg.weight_load_time, Duration::from_millis);
    cfg.checks_fencing = !cmd.ignore_fencing;
    cfg
}

fn serve<T: StandIn>(server: StandInServer<T>) -> eyre::Result<()> {
    let address = server.address();
    serve_at(server, address)
}

/// Prints the `ready` line with the addresses and serves.
fn serve_at<T: StandIn>(server: StandInServer<T>, address: SocketAddr) -> eyre::Result<()> {
    let mut out = std::io::stdout();
    writeln!(
        out,
        "ready address={address} admin={}",
        server.admin_address()
    )?;
    out.flush()?;
    async_io::block_on(server.run())?;
    Ok(())
}
