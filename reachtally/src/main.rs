//! The operators' command-line tool `reachtally`.

mod client;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use reachtally_command::{CommandResponse, Published};
use reachtally_config::{declarations, keys};

use crate::client::{CliError, Client};

/// The operators' command-line tool of reachtally.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// URL of an entry box's listener for operators
    #[bpaf(argument("URL"), fallback("http://127.0.0.1:7071".to_owned()))]
    operators: String,
    /// The operator's key
    #[bpaf(
        argument("KEY"),
        env("REACHTALLY_KEY"),
        fallback(String::new()),
        hide_usage
    )]
    key: String,
    /// Print responses as JSON
    json: bool,
    #[bpaf(external)]
    action: Action,
}

#[derive(Debug, Clone, Bpaf)]
enum Action {
    /// Publish the declarations of a YAML file
    #[bpaf(command)]
    Apply {
        /// Declarations
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print the hash of a key, as settings and declarations store it
    #[bpaf(command("hash-key"))]
    HashKey {
        /// The key
        #[bpaf(positional("KEY"))]
        plain: String,
    },
    /// Trace one request through the logs of one or more boxes, read from standard input
    #[bpaf(command)]
    Explain {
        /// The request id given by the caller
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Count requests that were not served in time by cause, from logs on standard input
    #[bpaf(command)]
    Losses,
    /// Show engines that received more requests than they had capacity for, from logs on standard input
    #[bpaf(command)]
    Crowding,
    /// Show what boxes waited for after their last start, from logs on standard input
    #[bpaf(command)]
    Startup,
    /// Run a query or command, such as "show targets"
    Run {
        /// Query or command
        #[bpaf(positional("COMMAND"))]
        command: String,
    },
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match execute(arguments().run()).await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("reachtally: {failure}");
            failure.exit_code()
        }
    }
}

async fn execute(arguments: Arguments) -> Result<String, CliError> {
    let json = arguments.json;
    let client = Client::new(arguments.operators, arguments.key);
    match arguments.action {
        Action::HashKey { plain } => Ok(format!("{}\n", keys::hash(&plain))),
        Action::Apply { file } => {
            let name = file.display().to_string();
            let text = std::fs::read_to_string(&file)
                .map_err(|err| CliError::Usage(format!("can't read {name}: {err}")))?;
            let objects = declarations::parse(&name, &text)
                .map_err(|findings| CliError::Usage(format!("bad declarations\n{findings}")))?;
            let published = client.apply(&objects).await?;
            render(json, &CommandResponse::Published(published))
        }
        Action::Explain { id } => {
            let log = read_log()?;
            reachtally_journal::explain(log.lines(), &id)
                .map_err(|err| CliError::Usage(err.to_string()))
        }
        Action::Losses => Ok(reachtally_journal::losses(read_log()?.lines()).to_string()),
        Action::Crowding => Ok(reachtally_journal::crowding(read_log()?.lines()).to_string()),
        Action::Startup => Ok(reachtally_journal::startups(read_log()?.lines()).to_string()),
        Action::Run { command } => {
            reachtally_command::parse(&command)
                .map_err(|err| CliError::Usage(format!("bad command\n{err}")))?;
            let answer = client.command(&command).await?;
            render(json, &answer)
        }
    }
}

fn read_log() -> Result<String, CliError> {
    std::io::read_to_string(std::io::stdin())
        .map_err(|err| CliError::Usage(format!("can't read the log: {err}")))
}

fn render(json: bool, answer: &CommandResponse) -> Result<String, CliError> {
    if json {
        let text = serde_json::to_string_pretty(answer);
        let text = text.map_err(|err| CliError::Usage(err.to_string()))?;
        return Ok(format!("{text}\n"));
    }
    Ok(match answer {
        CommandResponse::Table(table) => table.to_string(),
        CommandResponse::Published(published) => render_published(published),
    })
}

fn render_published(published: &Published) -> String {
    match published.offset {
        None => "nothing to change\n".to_owned(),
        Some(offset) => format!(
            "published {} changes at offset {offset} as operation {}; {}\n",
            published.changes,
            published.operation,
            if published.folded {
                "in force at this entry box"
            } else {
                "not yet in force at this entry box"
            }
        ),
    }
}
