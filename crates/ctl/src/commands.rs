//! Commands of the tool.

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
use crate::operator::Operator;
use crate::output::{Format, Output};

/// Name that the tool gives to the platform.
const INSTANCE: &str = "nutmegbay-ctl";

type Outcome = Result<Output, Report<CtlError>>;

/// Runs the command line and returns the exit code. Results go to standard output, errors to
/// standard error.
pub async fn run(matches: &ArgMatches) -> CtlExit {
    let format = if matches.get_flag("json") {
        Format::Json
    } else {
        Format::Table
    };
    let result = match matches.subcommand() {
        Some(("completions", args)) => return completions(args),
        Some((name, args)) => dispatch(name, args).await,
        None => Err(invalid("a command is required; see --help")),
    };
    match result {
        Ok(output) => print(&output.render(format)),
        Err(report) => fail(&report, format),
    }
}

async fn dispatch(name: &str, args: &ArgMatches) -> Outcome {
    match name {
        "check" => check(args),
        "show" => show(args).await,
        "diff" => show_diff(args).await,
        "publish" => publish(args).await,
        "key" => key(args).await,
        "quarantine" => quarantine(args).await,
        "drain" => drain(args).await,
        "status" => status(args).await,
        "leases" => Ok(leases(&read(args).await?)),
        "usage" => Ok(usage(&read(args).await?)),
        "audit" => Ok(audit(&read(args).await?, args)),
        other => Err(invalid(format!("unknown command `{other}`"))),
    }
}

fn check(args: &ArgMatches) -> Outcome {
    let base = File::read(text(args, "base"))?;
    load(base.source(), None)?;
    let overlays = args.get_many::<String>("overlay").into_iter().flatten();
    let mut checked = vec![base.name.clone()];
    for name in overlays {
        let overlay = File::read(name)?;
        load(base.source(), Some(overlay.source()))?;
        checked.push(overlay.name);
    }
    Ok(Output::line(
        format!("{} file(s) valid", checked.len()),
        &json!({ "valid": checked }),
    ))
}

async fn show(args: &ArgMatches) -> Outcome {
    let site = match args.get_one::<String>("base") {
        Some(base) => {
            let base = File::read(base)?;
            let overlay = args
                .get_one::<String>("overlay")
                .map(|o| File::read(o))
                .transpose()?;
            load(base.source(), overlay.as_ref().map(File::source))?
        }
        None => read(args).await?.site(text(args, "site"))?,
    };
    let values = site.values();
    let rows = values
        .iter()
        .map(|(key, value, origin)| vec![key.clone(), value.clone(), origin.to_string()]);
    let json: Vec<_> = values
        .iter()
        .map(|(key, value, origin)| json!({ "key": key, "value": value, "origin": origin.to_string() }))
        .collect();
    Ok(Output::new(
        &["KEY", "VALUE", "FROM"],
        rows.collect(),
        &json,
    ))
}

async fn show_diff(args: &ArgMatches) -> Outcome {
    let (operator, file) = (read(args).await?, File::read(text(args, "file"))?);
    let scope = scope(args)?;
    operator.check(&scope, file.source())?;
    let config = operator.replica().config();
    let published = match &scope {
        ConfigScope::Base => config.base(),
        ConfigScope::Overlay(site) => config.overlay(site),
    };
    let before = Source {
        name: "published",
        text: published.map_or("{}", |p| &p.text),
    };
    let before = nutmegbay_settings::Node::parse(before).map_err(settings)?;
    let after = nutmegbay_settings::Node::parse(file.source()).map_err(settings)?;
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
    Ok(Output::new(&["KEY", "PUBLISHED", "FILE"], rows, &json))
}

async fn publish(args: &ArgMatches) -> Outcome {
    let file = File::read(text(args, "file"))?;
    let mut operator = connect(args)?;
    let after = args.get_one::<u64>("after").copied().map(Offset);
    let offset = operator.publish(scope(args)?, file.source(), after).await?;
    let json = json!({ "offset": offset });
    in_force(
        args,
        &operator,
        offset,
        format!("published at offset {offset}"),
        json,
    )
    .await
}

async fn key(args: &ArgMatches) -> Outcome {
    match args.subcommand() {
        Some(("grant", args)) => {
            let mut operator = connect(args)?;
            let key = operator.grant_key(text(args, "account")).await?;
            let line = format!("key {} for {}: {}", key.key, key.account, key.token);
            in_force(args, &operator, key.offset, line, to_json(&key)).await
        }
        Some(("withdraw", args)) => {
            let mut operator = connect(args)?;
            let offset = operator.withdraw_key(text(args, "key")).await?;
            let line = format!("key withdrawn at offset {offset}");
            in_force(args, &operator, offset, line, json!({ "offset": offset })).await
        }
        Some((_, args)) => Ok(key_list(&read(args).await?)),
        None => Err(invalid("a key command is required; see --help")),
    }
}

fn key_list(operator: &Operator<PlatformClient>) -> Output {
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
    Output::new(
        &["KEY", "ACCOUNT", "GRANTED AT", "STATE"],
        rows.collect(),
        &json,
    )
}

async fn quarantine(args: &ArgMatches) -> Outcome {
    match args.subcommand() {
        Some(("clear", args)) => {
            let fingerprint: Fingerprint = text(args, "fingerprint")
                .parse()
                .map_err(|e| invalid(format!("bad fingerprint: {e}")))?;
            let offset = connect(args)?
                .clear(QuarantineClear { fingerprint })
                .await?;
            Ok(Output::line(
                format!("cleared at offset {offset}"),
                &json!({ "offset": offset }),
            ))
        }
        Some((_, args)) => Ok(quarantined(&read(args).await?)),
        None => Err(invalid("a quarantine command is required; see --help")),
    }
}

fn quarantined(operator: &Operator<PlatformClient>) -> Output {
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
    Output::new(
        &["FINGERPRINT", "STATE", "CRASHED UPSTREAMS"],
        rows.collect(),
        &json,
    )
}

async fn drain(args: &ArgMatches) -> Outcome {
    let instance = text(args, "instance");
    let mut operator = connect(args)?;
    let fleet = Fleet::read(&client(args)?).await?;
    let running = fleet.drain(instance).await?;
    let offset = operator.drain(instance).await?;
    let line = format!("`{instance}` drains, {running} request(s) still running");
    Ok(Output::line(
        line,
        &json!({ "offset": offset, "running": running }),
    ))
}

async fn status(args: &ArgMatches) -> Outcome {
    let fleet = Fleet::read(&client(args)?).await?;
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
    let titles = [
        "INSTANCE",
        "KIND",
        "FAILURE DOMAIN",
        "LISTED",
        "ANSWERS",
        "DETAIL",
    ];
    Ok(Output::new(&titles, rows, &json))
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

fn leases(operator: &Operator<PlatformClient>) -> Output {
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
    Output::new(
        &["ROLE", "HOLDER", "FENCING NUMBER", "STATE"],
        rows.collect(),
        &json,
    )
}

fn usage(operator: &Operator<PlatformClient>) -> Output {
    let ledger = operator.replica().usage();
    let mut rows = Vec::new();
    let mut json = Vec::new();
    let mut add = |window: String, state: &str, usage: &nutmegbay_core::replica::WindowUsage| {
        for (kind, accounts) in [("", &usage.accounts), (" late", &usage.late)] {
            for (account, u) in accounts {
                rows.push(vec![
                    window.clone(),
                    format!("{state}{kind}"),
                    account.to_string(),
                    u.calls.to_string(),
                    u.prompt_tokens.to_string(),
                    u.completion_tokens.to_string(),
                ]);
            }
        }
        json.push(json!({ "window": window, "state": state, "figures": usage }));
    };
    ledger
        .reported_windows()
        .for_each(|s| add(s.window.to_string(), "reported", &s.usage));
    ledger
        .unreported()
        .for_each(|s| add(s.window.to_string(), "sealed", &s.usage));
    ledger
        .open()
        .for_each(|(window, usage)| add(window.to_string(), "open", usage));
    let titles = [
        "WINDOW",
        "STATE",
        "ACCOUNT",
        "CALLS",
        "PROMPT TOKENS",
        "COMPLETION TOKENS",
    ];
    Output::new(&titles, rows, &json)
}

fn audit(operator: &Operator<PlatformClient>, args: &ArgMatches) -> Output {
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
    Output::new(
        &["OFFSET", "TIME (MS)", "AUTHOR", "CHANGE", "RESULT"],
        rows.collect(),
        &entries,
    )
}

/// Waits until the record at `offset` is in force everywhere, as far as the command line asks.
async fn in_force(
    args: &ArgMatches,
    operator: &Operator<PlatformClient>,
    offset: Offset,
    line: String,
    mut json: serde_json::Value,
) -> Outcome {
    let wait = Duration::from_secs(args.get_one::<u64>("wait").copied().unwrap_or(0));
    if wait.is_zero() {
        return Ok(Output::line(line, &json));
    }
    let fleet = Fleet::read(&client(args)?).await?;
    match fleet.wait_in_force(offset, operator.recent(), wait).await {
        Ok(took) => {
            json["in_force_ms"] = json!(took.as_millis());
            let line = format!(
                "{line}\nin force on every gateway after {} ms",
                took.as_millis()
            );
            Ok(Output::line(line, &json))
        }
        Err(behind) => {
            let names: Vec<_> = behind
                .iter()
                .map(|b| format!("{} ({})", b.instance, b.detail))
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

fn fail(report: &Report<CtlError>, format: Format) -> CtlExit {
    let error = report.current_context();
    match format {
        Format::Json => {
            let json = json!({ "error": error.to_string(), "verdict": error.verdict() });
            eprintln!("{json:#}");
        }
        Format::Table if std::io::stderr().is_terminal() => {
            eprintln!("\x1b[31merror\x1b[0m: {error}");
        }
        Format::Table => eprintln!("error: {error}"),
    }
    error.exit()
}

/// A settings file.
struct File {
    name: String,
    text: String,
}

impl File {
    fn read(name: &str) -> Result<Self, Report<CtlError>> {
        let text = std::fs::read_to_string(Path::new(name))
            .map_err(|e| invalid(format!("cannot read `{name}`: {e}")))?;
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

async fn read(args: &ArgMatches) -> Result<Operator<PlatformClient>, Report<CtlError>> {
    let mut operator = connect(args)?;
    operator.refresh().await?;
    Ok(operator)
}

fn connect(args: &ArgMatches) -> Result<Operator<PlatformClient>, Report<CtlError>> {
    Ok(Operator::new(client(args)?, text(args, "author")))
}

fn client(args: &ArgMatches) -> Result<PlatformClient, Report<CtlError>> {
    match args.get_one::<SocketAddr>("platform") {
        Some(addr) => Ok(PlatformClient::new(ClientSettings::new(*addr, INSTANCE))),
        None => Err(invalid(
            "set --platform or NUTMEGBAY_PLATFORM to the platform's address",
        )),
    }
}

fn scope(args: &ArgMatches) -> Result<ConfigScope, Report<CtlError>> {
    match (text(args, "scope"), args.get_one::<String>("site")) {
        ("base", _) => Ok(ConfigScope::Base),
        (_, Some(site)) => Ok(ConfigScope::Overlay(site.as_str().into())),
        (_, None) => Err(invalid("an overlay needs --site")),
    }
}

fn load(base: Source<'_>, overlay: Option<Source<'_>>) -> Result<Site, Report<CtlError>> {
    Site::load(base, overlay).map_err(settings)
}

fn settings(report: Report<nutmegbay_settings::SettingsError>) -> Report<CtlError> {
    let text = report.current_context().to_string();
    report.change_context(CtlError::Invalid(text.into()))
}

fn invalid(text: impl Into<Box<str>>) -> Report<CtlError> {
    Report::new(CtlError::Invalid(text.into()))
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

fn to_json<T: Serialize>(value: &T) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or(serde_json::Value::Null)
}
