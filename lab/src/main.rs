//! Command line of the laboratory: experiments on the real program among stand-ins, simulations, and checks of the
//! rules.

mod arguments;
mod capacity;
mod check;
mod drains;
mod hollow;
mod load;
mod membership;
mod planners;
mod revisions;
mod settings;
mod soak;
mod stand_ins;
mod sync;
mod vrrp;
mod worth;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "topazpath's laboratory")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure the processor time per served, refused and abandoned request, and the behaviour with too little of it.
    Load(load::Options),
    /// Measure the time from a drain's announcement to the last attempt, and the calls to discovery.
    Drains(arguments::Common),
    /// Inject seeded faults into the real process: series of signals, drains, hangs, resets, slow discovery, crowds.
    Soak(soak::Options),
    /// Open waves of idle connections: attempts at nodes, late answers, and clients in service.
    Crowds(soak::crowds::Options),
    /// Simulate random settings in virtual time and check every rule.
    Settings(settings::command::Options),
    /// Test membership of real processes that are stopped, cut off, killed and sent false messages.
    Fleet(arguments::Parts),
    /// Run a script of faults on real processes and print a timeline of the effects.
    FleetScript(membership::script::Options),
    /// Simulate membership in virtual time: thousands of fault schedules, detection, loss, cost.
    FleetSim(arguments::Parts),
    /// Test takeovers of a virtual address: gaps, broken rules, false takeovers, cost.
    Vrrp(arguments::Parts),
    /// Test forwarders and planners as real processes: planners are killed under a surge of load and restart together.
    Planners(arguments::Common),
    /// Simulate the shares of forwarders and planners in virtual time: faults, skewed use, outages, scale.
    PlannersSim(arguments::Parts),
    /// Simulate the planners' agreement on revisions in virtual time: thousands of fault schedules, and planted faults.
    RevisionsSim(arguments::Parts),
    /// Run a whole fleet of hollow and real initiators on this machine through scenes of faults and changes.
    Hollow {
        #[command(flatten)]
        options: hollow::Options,
        #[command(flatten)]
        common: arguments::Common,
    },
    /// Run many hollow initiators in this process; started by `hollow`.
    #[command(hide = true)]
    HollowWorker,
    /// Measure how each cost grows with the fleet, compared with budgets at the size that operators expect.
    Capacity(capacity::Options),
    /// Measure memory in a fresh process; started by `capacity`.
    #[command(hide = true)]
    CapacityChild(capacity::child::Options),
    /// Kill the child processes of a run that died; started by `hollow`.
    #[command(hide = true)]
    HollowKeeper,
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Load(options) => load::run(&options),
        Command::Drains(arguments) => drains::run(&arguments),
        Command::Soak(options) => soak::run(&options),
        Command::Crowds(options) => soak::crowds::run(&options),
        Command::Settings(options) => settings::command::run(&options),
        Command::Fleet(arguments) => membership::processes::run(&arguments),
        Command::FleetScript(options) => membership::script::run(&options),
        Command::FleetSim(arguments) => membership::simulation::run(&arguments),
        Command::Vrrp(arguments) => vrrp::experiments::run(&arguments),
        Command::Planners(arguments) => planners::processes::run(&arguments),
        Command::PlannersSim(arguments) => planners::simulation::run(&arguments),
        Command::RevisionsSim(arguments) => revisions::simulation::run(&arguments),
        Command::Hollow { options, common } => hollow::command(&options, &common),
        Command::HollowWorker => hollow::worker::run(),
        Command::Capacity(options) => capacity::run(&options),
        Command::CapacityChild(options) => capacity::child::run(&options),
        Command::HollowKeeper => hollow::keeper::run(),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("topazpath-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
