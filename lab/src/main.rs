//! The laboratory's commands: stand-ins around the real program, experiments, and checkers of the rules.

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
    /// What a request costs in processor time, served, refused and abandoned, and what is done with too little of it.
    Load(load::Options),
    /// From a drain's announcement to the last attempt, and calls of discovery, where that is asked.
    Drains(arguments::Common),
    /// Seeded faults against the real process: signals in series, drains, hangs, resets, slow discovery, crowds.
    Soak(soak::Options),
    /// Crowds of idle connections, in waves: what nodes are told, late answers, and clients in service.
    Crowds(soak::crowds::Options),
    /// Settings drawn at random, each played in virtual time: every rule is checked on what was seen.
    Settings(settings::command::Options),
    /// Membership among real processes that are stopped, cut, killed and lied to.
    Fleet(arguments::Parts),
    /// A script of faults among real processes, with a timeline of what came of it.
    FleetScript(membership::script::Options),
    /// Membership in virtual time: fault schedules by the thousand, detection, loss, cost.
    FleetSim(arguments::Parts),
    /// Takeovers of a virtual address: gaps, broken rules, false takeovers, cost.
    Vrrp(arguments::Parts),
    /// Forwarders and planners as real processes: planners are killed in a surge and come back in a wave.
    Planners(arguments::Common),
    /// Shares of forwarders and planners in virtual time: faults, skewed use, outages, scale.
    PlannersSim(arguments::Parts),
    /// Agreement of planners on revisions in virtual time: fault schedules by the thousand, and planted faults.
    RevisionsSim(arguments::Parts),
    /// A whole fleet of hollow and real initiators on this machine, and what is played on it.
    Hollow {
        #[command(flatten)]
        options: hollow::Options,
        #[command(flatten)]
        common: arguments::Common,
    },
    /// A process with many hollow initiators, started by `hollow`.
    #[command(hide = true)]
    HollowWorker,
    /// How each cost grows with the fleet, against the size that operators expect.
    Capacity(capacity::Options),
    /// What `capacity` measures in a process of its own.
    #[command(hide = true)]
    CapacityChild(capacity::child::Options),
    /// Ends the processes of a run that is gone, started by `hollow`.
    #[command(hide = true)]
    HollowKeeper,
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
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
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("topazpath-lab: {why}");
            ExitCode::FAILURE
        }
    }
}
