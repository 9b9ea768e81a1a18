//! The operator commands of rhubarbcove: experiments with stand-ins in the same
//! process, load generation, reports and configuration changes.

use {
    bpaf::Bpaf,
    bytes::Bytes,
    config::{
        Class, Document, Engine, Limits, Plan, Routes, Scheduling, Service, ServiceReplica,
        Settings, Team, TrialRules, Upstream,
    },
    eyre::{WrapErr, bail, eyre},
    futures::StreamExt,
    http_body_util::{BodyDataStream, BodyExt, Full},
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    indicatif::{ProgressBar, ProgressStyle},
    plotters::prelude::{
        BLACK, BLUE, ChartBuilder, Color, IntoDrawingArea, RED, Rectangle, SVGBackend, WHITE,
    },
    policy::WasteCause,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, Exp, LogNormal},
    router::{ClassReport, GuaranteeCheck, Host, Report, Serving},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    standin::{
        EngineFaults, EngineOptions, EngineStandin, PlatformFaults, PlatformStandin, Run, RunLog,
        ServiceFaults, ServiceStandin,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Display, Formatter},
        io::{BufRead, BufReader, Write},
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    store::{ConfigStore, ConfigStoreError, ListedHost, ListedState, PlatformClient},
    tokio::{
        net::TcpStream,
        sync::watch,
        task::JoinSet,
        time::{Instant, sleep, sleep_until, timeout},
    },
    types::prelude::*,
};

mod caller;
mod command;
mod compare_command;
mod config_command;
mod demo_command;
mod experiment;
mod explain_command;
mod explanation;
mod fault;
mod fleet;
mod fleet_options;
mod flow;
mod guarantee_checks;
mod history_report;
mod http_client;
mod leaving_span;
mod load_command;
mod plan;
mod record;
mod render;
mod report_command;
mod scenario;
mod scenario_class;
mod scenario_team;
mod standin_command;

pub use {
    caller::Caller,
    command::{Command, command},
    experiment::{Experiment, run_experiment},
    explanation::{Explanation, LogLine},
    fault::{Fault, FaultKind},
    fleet::Fleet,
    fleet_options::FleetOptions,
    flow::{Burst, Flow},
    guarantee_checks::check_guarantees,
    history_report::history_report,
    http_client::HttpClient,
    leaving_span::LeavingSpan,
    record::{Ending, Record},
    scenario::Scenario,
    scenario_class::ScenarioClass,
    scenario_team::ScenarioTeam,
};

use {
    compare_command::CompareCommand,
    config_command::ConfigCommand,
    demo_command::DemoCommand,
    explain_command::ExplainCommand,
    load_command::LoadCommand,
    plan::{PlannedRequest, plan_requests},
    render::{render_svg, render_table},
    report_command::ReportCommand,
    standin_command::StandinCommand,
};
