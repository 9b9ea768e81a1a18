use super::*;

/// Options of `report`.
#[derive(Bpaf, Clone, Debug)]
pub struct ReportCommand {
    /// Print JSON instead of a table
    json: bool,
    /// Draw the attainment by class to a file as SVG
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
    /// Operator token of the host
    #[bpaf(argument("TOKEN"), env("RHUBARBCOVE_OPERATOR_TOKEN"))]
    token: String,
    /// Operator address of the host
    #[bpaf(positional("ADDRESS"))]
    host: SocketAddr,
}

impl ReportCommand {
    pub(crate) async fn run(self) -> eyre::Result<()> {
        let request = Request::builder()
            .uri("/report")
            .header("host", self.host.to_string())
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(Bytes::new()))?;
        let (status, body) = HttpClient::default().exchange(self.host, request).await?;
        if status != StatusCode::OK {
            bail!("host answered {status}: {}", String::from_utf8_lossy(&body));
        }
        let report: Report = serde_json::from_slice(&body).wrap_err("response is not a report")?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            print!("{}", render_table(&report));
        }
        if let Some(file) = &self.svg {
            render_svg(&report, file)?;
        }
        Ok(())
    }
}
