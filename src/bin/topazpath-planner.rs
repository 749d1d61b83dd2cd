//! The planner process, which divides shared limits among initiators for the partitions that it is elected for. Its
//! argument is its configuration file. With `configuration` it is the operators' command for live configuration
//! instead.

use clap::error::ErrorKind;
use clap::{Args, Parser, Subcommand};
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use topazpath::planner::operator::fleet::{self, Fleet};
use topazpath::planner::operator::{text, Expected, Failure, Planners, SUBMIT_TIMEOUT};
use topazpath::planner::server::{self, Config, Server};
use topazpath::process;
use topazpath::revisions::document::Document;
use topazpath::revisions::RevisionNumber;

const NAME: &str = "topazpath-planner";
/// The longest file of a document.
const MAX_DOCUMENT_BYTES: u64 = 1024 * 1024;

/// A planner, and the operators' command for live configuration.
#[derive(Parser)]
#[command(name = NAME, version, arg_required_else_help = true, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// Runs a planner with this configuration file.
    file: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Submits, shows and follows revisions of the live configuration.
    ///
    /// Exit codes: 0 done or in force, 1 refused (a conflict, or a document that can't be accepted), 2 arguments or
    /// files that can't be used, 3 not decided (no quorum, an unknown outcome, planners out of reach), 4 not in force
    /// everywhere in time.
    #[command(subcommand)]
    Configuration(Action),
}

#[derive(Subcommand)]
enum Action {
    /// Creates the store of a planner, once, before its first start.
    Create {
        /// The planner's configuration file.
        file: PathBuf,
    },
    /// Submits a document as the next revision.
    Submit {
        #[command(flatten)]
        proposal: ProposalArguments,
        /// The document, in TOML.
        document: PathBuf,
    },
    /// Prints a revision.
    Show {
        #[command(flatten)]
        planners: PlannerArguments,
        /// Its number; the newest if omitted.
        number: Option<u64>,
    },
    /// Prints the differences between two revisions.
    Compare {
        #[command(flatten)]
        planners: PlannerArguments,
        /// The first revision; 0 is the empty state before revision 1.
        one: u64,
        /// The second revision.
        other: u64,
    },
    /// Submits the content of an earlier revision as the next one.
    Revert {
        #[command(flatten)]
        proposal: ProposalArguments,
        /// The earlier revision; 0 is the empty state before revision 1.
        number: u64,
    },
    /// Prints the status of planners and initiators.
    Status {
        #[command(flatten)]
        planners: PlannerArguments,
        /// Prints one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Waits until a revision is in force at every connected initiator.
    Wait {
        #[command(flatten)]
        planners: PlannerArguments,
        /// Its number; the newest revision now if omitted.
        number: Option<u64>,
        /// How long to wait.
        #[arg(long, value_name = "SECONDS", value_parser = seconds)]
        seconds: Duration,
    },
}

#[derive(Args)]
struct PlannerArguments {
    /// The addresses of the planners, separated by commas.
    #[arg(long, value_name = "ADDRESS:PORT", value_delimiter = ',', required = true)]
    planners: Vec<SocketAddr>,
}

#[derive(Args)]
struct ProposalArguments {
    #[command(flatten)]
    planners: PlannerArguments,
    /// The revision that must still be the newest: its number, or `latest`.
    #[arg(long, value_name = "NUMBER|latest", value_parser = expected)]
    expect: Expected,
    /// The name of the author.
    #[arg(long)]
    author: String,
    /// How long planners are asked for a decision; 8 seconds if omitted.
    #[arg(long, value_name = "SECONDS", value_parser = seconds)]
    within: Option<Duration>,
    /// Waits this long until it is in force at every connected initiator.
    #[arg(long, value_name = "SECONDS", value_parser = seconds)]
    wait: Option<Duration>,
}

fn expected(text: &str) -> Result<Expected, String> {
    if text == "latest" {
        return Ok(Expected::Latest);
    }
    let number = text.parse().map_err(|_| "a number or `latest` is allowed".to_string())?;
    Ok(Expected::Number(RevisionNumber(number)))
}

fn seconds(text: &str) -> Result<Duration, String> {
    let seconds: f64 = text.parse().map_err(|_| "a number of seconds is allowed".to_string())?;
    let within_a_day = (0.0..=86_400.0).contains(&seconds);
    within_a_day.then(|| Duration::from_secs_f64(seconds)).ok_or_else(|| "0 to 86400 is allowed".into())
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) => return usage(&error),
    };
    match arguments.command {
        Some(Command::Configuration(action)) => match run_command(action) {
            Ok(()) => ExitCode::SUCCESS,
            Err(failure) => {
                eprintln!("{NAME}: {failure}");
                ExitCode::from(failure.exit_code())
            }
        },
        None => process::run(NAME, || {
            let config = Config::read(&arguments.file.unwrap_or_default())?;
            // A planner's file is read at its start only; SIGHUP has no effect.
            Server::new(config, process::signals()?.end)?.run()
        }),
    }
}

/// Prints help unchanged, and an error as one line. Returns the exit code.
fn usage(error: &clap::Error) -> ExitCode {
    if !error.use_stderr() {
        // The reader of the output may have closed it already.
        let _ = error.print();
        return ExitCode::SUCCESS;
    }
    let exit_code = ExitCode::from(Failure::Usage(String::new()).exit_code());
    if error.kind() == ErrorKind::DisplayHelpOnMissingArgumentOrSubcommand {
        eprintln!("usage: {NAME} FILE, or {NAME} configuration COMMAND; see --help");
        return exit_code;
    }
    let text = error.render().to_string();
    let line: Vec<&str> = text.lines().take_while(|line| !line.is_empty()).map(str::trim).collect();
    let line = line.join(" ");
    eprintln!("{NAME}: {}", line.strip_prefix("error: ").unwrap_or(&line));
    exit_code
}

fn run_command(action: Action) -> Result<(), Failure> {
    match action {
        Action::Create { file } => {
            let config = Config::read(&file).map_err(Failure::Usage)?;
            server::create_store(&config).map_err(Failure::Usage)
        }
        Action::Submit { proposal, document } => submit(&proposal, read_document(&document)?),
        Action::Revert { proposal, number } => {
            let planners = proposal.planners.planners();
            submit(&proposal, planners.document(RevisionNumber(number))?)
        }
        Action::Show { planners, number } => show(&planners.planners(), number),
        Action::Compare { planners, one, other } => {
            let planners = planners.planners();
            let one = planners.document(RevisionNumber(one))?;
            let other = planners.document(RevisionNumber(other))?;
            print!("{}", text::compare(&one, &other));
            Ok(())
        }
        Action::Status { planners, json } => {
            let fleet = Fleet::query(&planners.planners())?;
            if json {
                println!("{}", fleet.json());
            } else {
                print!("{}", fleet.text());
            }
            Ok(())
        }
        Action::Wait { planners, number, seconds } => {
            wait(&planners.planners(), number.map(RevisionNumber), seconds)
        }
    }
}

impl PlannerArguments {
    fn planners(&self) -> Planners {
        Planners { addresses: self.planners.clone() }
    }
}

fn submit(arguments: &ProposalArguments, document: Document) -> Result<(), Failure> {
    let planners = arguments.planners.planners();
    let within = arguments.within.unwrap_or(SUBMIT_TIMEOUT);
    let accepted = planners.submit(document, arguments.expect, &arguments.author, within)?;
    println!("accepted: revision {accepted}");
    match arguments.wait {
        Some(timeout) => wait(&planners, Some(accepted.number), timeout),
        None => Ok(()),
    }
}

fn wait(planners: &Planners, number: Option<RevisionNumber>, timeout: Duration) -> Result<(), Failure> {
    let (number, initiators) = fleet::wait(planners, number, timeout)?;
    println!("in force: revision {number} at {initiators} initiators");
    Ok(())
}

fn show(planners: &Planners, number: Option<u64>) -> Result<(), Failure> {
    let revision = match number {
        None => planners.newest()?,
        Some(number) => planners.revision(RevisionNumber(number))?,
    };
    match (revision, number) {
        (Some(revision), _) => {
            print!("{}", text::revision(&revision));
            Ok(())
        }
        (None, None) => {
            println!("# no revision yet");
            Ok(())
        }
        (None, Some(number)) => {
            Err(Failure::Refused(format!("revision {number} is not there, or not kept any more")))
        }
    }
}

fn read_document(path: &Path) -> Result<Document, Failure> {
    let unreadable = |error: std::io::Error| Failure::Usage(format!("{}: {error}", path.display()));
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(unreadable)?;
    file.take(MAX_DOCUMENT_BYTES + 1).read_to_end(&mut bytes).map_err(unreadable)?;
    let refused = |why: String| Failure::Refused(format!("{}: {why}", path.display()));
    if bytes.len() as u64 > MAX_DOCUMENT_BYTES {
        return Err(refused(format!("more than {MAX_DOCUMENT_BYTES} bytes are not allowed")));
    }
    let text = String::from_utf8(bytes).map_err(|_| refused("it is not UTF-8".into()))?;
    Document::parse(&text).map_err(|error| refused(error.to_string()))
}
