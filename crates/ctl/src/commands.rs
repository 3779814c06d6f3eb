//! Implementations of the tool's commands.

use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;
use error_stack::Report;
use nutmegbay_backplane::{ClientSettings, PlatformClient};
use nutmegbay_core::ids::{Fingerprint, Offset};
use nutmegbay_core::record::{ConfigScope, QuarantineClear};
use nutmegbay_settings::{Site, Source, diff};
use serde::Serialize;
use serde_json::json;

use crate::error::{CtlError, CtlExit};
use crate::fleet::Fleet;
use crate::operator::OperatorClient;
use crate::output::{CommandOutput, OutputFormat};

/// Name by which the tool identifies itself in calls to the platform.
const CLIENT_NAME: &str = "nutmegbay-ctl";

type CommandResult = Result<CommandOutput, Report<CtlError>>;

/// Runs the command of a parsed command line and returns the exit code. Prints results to standard
/// output and errors to standard error.
pub async fn run(matches: &ArgMatches) -> CtlExit {
    let format = if matches.get_flag("json") {
        OutputFormat::Json
    } else {
        OutputFormat::Table
    };
    let result = match matches.subcommand() {
        Some(("completions", args)) => return completions(args),
        Some((name, args)) => dispatch(name, args).await,
        None => Err(invalid_error("a command is required; see --help")),
    };
    match result {
        Ok(output) => print(&output.render(format)),
        Err(report) => print_error(&report, format),
    }
}

async fn dispatch(name: &str, args: &ArgMatches) -> CommandResult {
    match name {
        "check" => check(args),
        "show" => show(args).await,
        "diff" => show_diff(args).await,
        "publish" => publish(args).await,
        "key" => key(args).await,
        "quarantine" => quarantine(args).await,
        "drain" => drain(args).await,
        "status" => status(args).await,
        "leases" => Ok(leases(&read_log(args).await?)),
        "usage" => Ok(usage(&read_log(args).await?)),
        "audit" => Ok(audit(&read_log(args).await?, args)),
        other => Err(invalid_error(format!("unknown command `{other}`"))),
    }
}

fn check(args: &ArgMatches) -> CommandResult {
    let base = SettingsFile::read(string_arg(args, "base"))?;
    load_site(base.source(), None)?;
    let overlays = args.get_many::<String>("overlay").into_iter().flatten();
    let mut checked = vec![base.name.clone()];
    for name in overlays {
        let overlay = SettingsFile::read(name)?;
        load_site(base.source(), Some(overlay.source()))?;
        checked.push(overlay.name);
    }
    Ok(CommandOutput::text(
        format!("{} file(s) valid", checked.len()),
        &json!({ "valid": checked }),
    ))
}

async fn show(args: &ArgMatches) -> CommandResult {
    let site = match args.get_one::<String>("base") {
        Some(base) => {
            let base = SettingsFile::read(base)?;
            let overlay = args
                .get_one::<String>("overlay")
                .map(|name| SettingsFile::read(name))
                .transpose()?;
            load_site(base.source(), overlay.as_ref().map(SettingsFile::source))?
        }
        None => read_log(args)
            .await?
            .site_settings(string_arg(args, "site"))?,
    };
    let values = site.values();
    let rows = values
        .iter()
        .map(|(key, value, origin)| vec![key.clone(), value.clone(), origin.to_string()]);
    let json: Vec<_> = values
        .iter()
        .map(|(key, value, origin)| json!({ "key": key, "value": value, "origin": origin.to_string() }))
        .collect();
    Ok(CommandOutput::new(
        &["KEY", "VALUE", "FROM"],
        rows.collect(),
        &json,
    ))
}

async fn show_diff(args: &ArgMatches) -> CommandResult {
    let (operator, file) = (
        read_log(args).await?,
        SettingsFile::read(string_arg(args, "file"))?,
    );
    let scope = config_scope(args)?;
    operator.validate(&scope, file.source())?;
    let config = operator.replica().config();
    let published = match &scope {
        ConfigScope::Base => config.base(),
        ConfigScope::Overlay(site) => config.overlay(site),
    };
    let before = Source {
        name: "published",
        text: published.map_or("{}", |published| &published.text),
    };
    let before = nutmegbay_settings::Node::parse(before).map_err(settings_error)?;
    let after = nutmegbay_settings::Node::parse(file.source()).map_err(settings_error)?;
    let changes = diff(&before, &after);
    let value = |v: &Option<String>| v.clone().unwrap_or_else(|| "-".to_owned());
    let rows = changes.iter().map(|change| {
        vec![
            change.key.clone(),
            value(&change.before),
            value(&change.after),
        ]
    });
    let last = config.last();
    let mut rows: Vec<_> = rows.collect();
    if let Some(last) = last {
        rows.push(vec![format!("publish with --after {last}")]);
    }
    let json = json!({ "after": last, "changes": changes });
    Ok(CommandOutput::new(
        &["KEY", "PUBLISHED", "FILE"],
        rows,
        &json,
    ))
}

async fn publish(args: &ArgMatches) -> CommandResult {
    let file = SettingsFile::read(string_arg(args, "file"))?;
    let mut operator = operator_client(args)?;
    let after = args.get_one::<u64>("after").copied().map(Offset);
    let offset = operator
        .publish(config_scope(args)?, file.source(), after)
        .await?;
    let json = json!({ "offset": offset });
    output_after_wait(
        args,
        &operator,
        offset,
        format!("published at offset {offset}"),
        json,
    )
    .await
}

async fn key(args: &ArgMatches) -> CommandResult {
    match args.subcommand() {
        Some(("grant", args)) => {
            let mut operator = operator_client(args)?;
            let key = operator.grant_key(string_arg(args, "account")).await?;
            let line = format!("key {} for {}: {}", key.key, key.account, key.token);
            output_after_wait(args, &operator, key.offset, line, to_json(&key)).await
        }
        Some(("withdraw", args)) => {
            let mut operator = operator_client(args)?;
            let offset = operator.withdraw_key(string_arg(args, "key")).await?;
            let line = format!("key withdrawn at offset {offset}");
            output_after_wait(args, &operator, offset, line, json!({ "offset": offset })).await
        }
        Some((_, args)) => Ok(key_list(&read_log(args).await?)),
        None => Err(invalid_error("a key command is required; see --help")),
    }
}

fn key_list(operator: &OperatorClient<PlatformClient>) -> CommandOutput {
    let keys: Vec<_> = operator.replica().keys().iter().collect();
    let state = |withdrawn: Option<Offset>| match withdrawn {
        Some(offset) => format!("withdrawn at {offset}"),
        None => "live".to_owned(),
    };
    let rows = keys.iter().map(|(key, s)| {
        vec![
            (*key).to_owned(),
            s.account.to_string(),
            s.granted.to_string(),
            state(s.withdrawn),
        ]
    });
    let json: Vec<_> = keys
        .iter()
        .map(|(key, s)| {
            json!({ "key": key, "account": s.account, "granted": s.granted, "withdrawn": s.withdrawn })
        })
        .collect();
    CommandOutput::new(
        &["KEY", "ACCOUNT", "GRANTED AT", "STATE"],
        rows.collect(),
        &json,
    )
}

async fn quarantine(args: &ArgMatches) -> CommandResult {
    match args.subcommand() {
        Some(("clear", args)) => {
            let fingerprint: Fingerprint = string_arg(args, "fingerprint")
                .parse()
                .map_err(|e| invalid_error(format!("invalid fingerprint: {e}")))?;
            let offset = operator_client(args)?
                .clear_quarantine(QuarantineClear { fingerprint })
                .await?;
            Ok(CommandOutput::text(
                format!("cleared at offset {offset}"),
                &json!({ "offset": offset }),
            ))
        }
        Some((_, args)) => Ok(quarantine_list(&read_log(args).await?)),
        None => Err(invalid_error(
            "a quarantine command is required; see --help",
        )),
    }
}

fn quarantine_list(operator: &OperatorClient<PlatformClient>) -> CommandOutput {
    let suspects: Vec<_> = operator.replica().quarantine().iter().collect();
    let state = |is_quarantined: bool| {
        if is_quarantined {
            "quarantined"
        } else {
            "suspect"
        }
    };
    let rows = suspects.iter().map(|(fingerprint, suspect)| {
        vec![
            fingerprint.to_string(),
            state(suspect.is_quarantined()).to_owned(),
            suspect.upstreams.join(", "),
        ]
    });
    let json: Vec<_> = suspects
        .iter()
        .map(|(fingerprint, suspect)| {
            json!({ "fingerprint": fingerprint, "state": state(suspect.is_quarantined()),
                "upstreams": suspect.upstreams, "since": suspect.since })
        })
        .collect();
    CommandOutput::new(
        &["FINGERPRINT", "STATE", "CRASHED UPSTREAMS"],
        rows.collect(),
        &json,
    )
}

async fn drain(args: &ArgMatches) -> CommandResult {
    let instance = string_arg(args, "instance");
    let mut operator = operator_client(args)?;
    let fleet = Fleet::read(&platform_client(args)?).await?;
    let running = fleet.drain(instance).await?;
    let offset = operator.request_drain(instance).await?;
    let line = format!("`{instance}` drains, {running} request(s) still running");
    Ok(CommandOutput::text(
        line,
        &json!({ "offset": offset, "running": running }),
    ))
}

async fn status(args: &ArgMatches) -> CommandResult {
    let fleet = Fleet::read(&platform_client(args)?).await?;
    let (gateways, sidecars) = (fleet.gateways().await, fleet.sidecars().await);
    let mut rows = Vec::new();
    let mut json = Vec::new();
    for (instance, status) in &gateways {
        let detail = match status {
            Ok(s) => format!(
                "{} log={} config={} in_flight={}{}",
                s.freshness,
                s.log.next,
                s.config
                    .map_or_else(|| "none".to_owned(), |o| o.to_string()),
                s.in_flight,
                if s.ready { "" } else { " not ready" },
            ),
            Err(text) => text.to_string(),
        };
        rows.push(status_row(instance, status.is_ok(), detail));
        json.push(
            json!({ "instance": instance, "gateway": status.as_ref().ok(),
            "error": status.as_ref().err() }),
        );
    }
    for (instance, status) in &sidecars {
        let detail = match status {
            Ok(s) => format!(
                "{}{} running={} waiting={} role={}",
                if s.healthy { "healthy" } else { "unhealthy" },
                if s.draining { " draining" } else { "" },
                s.load.running,
                s.load.waiting,
                s.load.role,
            ),
            Err(text) => text.to_string(),
        };
        rows.push(status_row(instance, status.is_ok(), detail));
        json.push(
            json!({ "instance": instance, "sidecar": status.as_ref().ok(),
            "error": status.as_ref().err() }),
        );
    }
    let headings = [
        "INSTANCE",
        "KIND",
        "FAILURE DOMAIN",
        "LISTED",
        "ANSWERS",
        "DETAIL",
    ];
    Ok(CommandOutput::new(&headings, rows, &json))
}

fn status_row(
    instance: &nutmegbay_proto::platform::Instance,
    answers: bool,
    detail: String,
) -> Vec<String> {
    let answers = if answers { "yes" } else { "no" };
    vec![
        instance.name.to_string(),
        instance.kind.to_string(),
        instance.failure_domain.to_string(),
        instance.state.to_string(),
        answers.to_owned(),
        detail,
    ]
}

fn leases(operator: &OperatorClient<PlatformClient>) -> CommandOutput {
    let leases: Vec<_> = operator.replica().leases().iter().collect();
    let rows = leases.iter().map(|(role, lease)| {
        let state = if lease.released {
            "released"
        } else {
            "held or expired"
        };
        vec![
            role.to_string(),
            lease.holder.to_string(),
            lease.epoch.to_string(),
            state.to_owned(),
        ]
    });
    let json: Vec<_> = leases
        .iter()
        .map(|(role, lease)| json!({ "role": role, "lease": lease }))
        .collect();
    CommandOutput::new(
        &["ROLE", "HOLDER", "FENCING NUMBER", "STATE"],
        rows.collect(),
        &json,
    )
}

fn usage(operator: &OperatorClient<PlatformClient>) -> CommandOutput {
    let ledger = operator.replica().usage();
    let mut rows = Vec::new();
    let mut json = Vec::new();
    let mut add_window =
        |window: String, state: &str, usage: &nutmegbay_core::replica::WindowUsage| {
            for (kind, accounts) in [("", &usage.accounts), (" late", &usage.late)] {
                for (account, counts) in accounts {
                    rows.push(vec![
                        window.clone(),
                        format!("{state}{kind}"),
                        account.to_string(),
                        counts.calls.to_string(),
                        counts.prompt_tokens.to_string(),
                        counts.completion_tokens.to_string(),
                    ]);
                }
            }
            json.push(json!({ "window": window, "state": state, "figures": usage }));
        };
    ledger
        .reported_windows()
        .for_each(|s| add_window(s.window.to_string(), "reported", &s.usage));
    ledger
        .unreported()
        .for_each(|s| add_window(s.window.to_string(), "sealed", &s.usage));
    ledger
        .open()
        .for_each(|(window, usage)| add_window(window.to_string(), "open", usage));
    let headings = [
        "WINDOW",
        "STATE",
        "ACCOUNT",
        "CALLS",
        "PROMPT TOKENS",
        "COMPLETION TOKENS",
    ];
    CommandOutput::new(&headings, rows, &json)
}

fn audit(operator: &OperatorClient<PlatformClient>, args: &ArgMatches) -> CommandOutput {
    let limit = args.get_one::<usize>("limit").copied().unwrap_or(50);
    let mut entries: Vec<_> = operator
        .replica()
        .audit()
        .iter()
        .rev()
        .take(limit)
        .collect();
    entries.reverse();
    let rows = entries.iter().map(|entry| {
        let result = entry
            .rejected
            .map_or_else(|| "accepted".to_owned(), |r| format!("rejected: {r}"));
        vec![
            entry.offset.to_string(),
            entry.at_ms.to_string(),
            entry.author.to_string(),
            entry.what.to_string(),
            result,
        ]
    });
    CommandOutput::new(
        &["OFFSET", "TIME (MS)", "AUTHOR", "CHANGE", "RESULT"],
        rows.collect(),
        &entries,
    )
}

/// Returns the output of a change after every gateway has applied the record at `offset`. Waits at
/// most for the time given by `--wait`; 0 does not wait. Fails with [`CtlError::NotInForce`].
async fn output_after_wait(
    args: &ArgMatches,
    operator: &OperatorClient<PlatformClient>,
    offset: Offset,
    line: String,
    mut json: serde_json::Value,
) -> CommandResult {
    let wait = Duration::from_secs(args.get_one::<u64>("wait").copied().unwrap_or(0));
    if wait.is_zero() {
        return Ok(CommandOutput::text(line, &json));
    }
    let fleet = Fleet::read(&platform_client(args)?).await?;
    match fleet
        .wait_until_applied(offset, operator.recent_entries(), wait)
        .await
    {
        Ok(elapsed) => {
            json["in_force_ms"] = json!(elapsed.as_millis());
            let line = format!(
                "{line}\nin force on every gateway after {} ms",
                elapsed.as_millis()
            );
            Ok(CommandOutput::text(line, &json))
        }
        Err(lagging_gateways) => {
            let names: Vec<_> = lagging_gateways
                .iter()
                .map(|gateway| format!("{} ({})", gateway.instance, gateway.detail))
                .collect();
            let text = format!(
                "{line}\nnot in force after {wait:?} on: {}",
                names.join(", ")
            );
            Err(Report::new(CtlError::NotInForce(text.into())))
        }
    }
}

fn completions(args: &ArgMatches) -> CtlExit {
    let Some(shell) = args.get_one::<Shell>("shell") else {
        return CtlExit::Usage;
    };
    let mut buf = Vec::new();
    clap_complete::generate(
        *shell,
        &mut crate::cli::command(),
        "nutmegbay-ctl",
        &mut buf,
    );
    print(&String::from_utf8_lossy(&buf))
}

fn print(text: &str) -> CtlExit {
    match std::io::stdout().lock().write_all(text.as_bytes()) {
        Ok(()) => CtlExit::Ok,
        Err(_) => CtlExit::Failure,
    }
}

fn print_error(report: &Report<CtlError>, format: OutputFormat) -> CtlExit {
    let error = report.current_context();
    match format {
        OutputFormat::Json => {
            let json = json!({ "error": error.to_string(), "verdict": error.verdict() });
            eprintln!("{json:#}");
        }
        OutputFormat::Table if std::io::stderr().is_terminal() => {
            eprintln!("\x1b[31merror\x1b[0m: {error}");
        }
        OutputFormat::Table => eprintln!("error: {error}"),
    }
    error.exit_code()
}

/// Name and text of a settings file.
struct SettingsFile {
    name: String,
    text: String,
}

impl SettingsFile {
    fn read(name: &str) -> Result<Self, Report<CtlError>> {
        let text = std::fs::read_to_string(Path::new(name))
            .map_err(|e| invalid_error(format!("cannot read `{name}`: {e}")))?;
        Ok(Self {
            name: name.to_owned(),
            text,
        })
    }

    fn source(&self) -> Source<'_> {
        Source {
            name: &self.name,
            text: &self.text,
        }
    }
}

async fn read_log(args: &ArgMatches) -> Result<OperatorClient<PlatformClient>, Report<CtlError>> {
    let mut operator = operator_client(args)?;
    operator.refresh().await?;
    Ok(operator)
}

fn operator_client(args: &ArgMatches) -> Result<OperatorClient<PlatformClient>, Report<CtlError>> {
    Ok(OperatorClient::new(
        platform_client(args)?,
        string_arg(args, "author"),
    ))
}

fn platform_client(args: &ArgMatches) -> Result<PlatformClient, Report<CtlError>> {
    match args.get_one::<SocketAddr>("platform") {
        Some(addr) => Ok(PlatformClient::new(ClientSettings::new(*addr, CLIENT_NAME))),
        None => Err(invalid_error(
            "set --platform or NUTMEGBAY_PLATFORM to the platform's address",
        )),
    }
}

fn config_scope(args: &ArgMatches) -> Result<ConfigScope, Report<CtlError>> {
    match (string_arg(args, "scope"), args.get_one::<String>("site")) {
        ("base", _) => Ok(ConfigScope::Base),
        (_, Some(site)) => Ok(ConfigScope::Overlay(site.as_str().into())),
        (_, None) => Err(invalid_error("an overlay needs --site")),
    }
}

fn load_site(base: Source<'_>, overlay: Option<Source<'_>>) -> Result<Site, Report<CtlError>> {
    Site::load(base, overlay).map_err(settings_error)
}

fn settings_error(report: Report<nutmegbay_settings::SettingsError>) -> Report<CtlError> {
    let text = report.current_context().to_string();
    report.change_context(CtlError::Invalid(text.into()))
}

fn invalid_error(text: impl Into<Box<str>>) -> Report<CtlError> {
    Report::new(CtlError::Invalid(text.into()))
}

fn string_arg<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

fn to_json<T: Serialize>(value: &T) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or(serde_json::Value::Null)
}
