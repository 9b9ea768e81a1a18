use super::*;

/// Operate rhubarbcove: experiments, reports, configuration.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Compare two reports
    #[bpaf(command)]
    Compare(#[bpaf(external(compare_command::compare_command))] CompareCommand),
    /// Read and change the shared configuration
    #[bpaf(command)]
    Config(#[bpaf(external(config_command::config_command))] ConfigCommand),
    /// Run the demo scenario with embedded stand-ins and print a report
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_command::demo_command))] DemoCommand),
    /// Explain from the hosts' logs how a request ended and why
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_command::explain_command))] ExplainCommand),
    /// Run a scenario with embedded stand-ins and print a report
    #[bpaf(command)]
    Load(#[bpaf(external(load_command::load_command))] LoadCommand),
    /// Show a running host's report on service levels and burn rates
    #[bpaf(command)]
    Report(#[bpaf(external(report_command::report_command))] ReportCommand),
    /// Run one stand-in as a separate process
    #[bpaf(command)]
    Standin(#[bpaf(external(standin_command::standin_command))] StandinCommand),
}

impl Command {
    /// Runs the command.
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
