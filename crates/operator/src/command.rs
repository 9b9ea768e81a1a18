use super::*;

/// Operate rhubarbcove: experiments, reports, configuration.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Put two reports side by side
    #[bpaf(command)]
    Compare(#[bpaf(external(compare_command::compare_command))] CompareCommand),
    /// Read and change the shared configuration
    #[bpaf(command)]
    Config(#[bpaf(external(config_command::config_command))] ConfigCommand),
    /// Run the whole router on embedded stand-ins and report
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_command::demo_command))] DemoCommand),
    /// Say from the hosts' logs what decided the end of a request
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_command::explain_command))] ExplainCommand),
    /// Run a scenario on embedded stand-ins and report
    #[bpaf(command)]
    Load(#[bpaf(external(load_command::load_command))] LoadCommand),
    /// Show a running host's report on service-level burn
    #[bpaf(command)]
    Report(#[bpaf(external(report_command::report_command))] ReportCommand),
    /// Run one stand-in as a process of its own
    #[bpaf(command)]
    Standin(#[bpaf(external(standin_command::standin_command))] StandinCommand),
}

impl Command {
    /// Carries the command out.
    pub async fn run(self) -> eyre::Result<()> {
        match self {
            Self::Compare(command) => command.run(),
            Self::Config(command) => command.run().await,
            Self::Demo(command) => command.run().await,
            Self::Explain(command) => command.run(),
            Self::Load(command) => command.run().await,
            Self::Report(command) => command.run().await,
            Self::Standin(command) => command.run().await,
        }
    }
}
