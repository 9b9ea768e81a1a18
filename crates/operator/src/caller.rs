use super::*;

/// Maximum time that a caller waits for the end of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(120);

/// Number of prompt bytes that engine stand-ins count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Sends the requests of a scenario as callers do and records the responses.
#[derive(Clone)]
pub struct Caller {
    /// HTTP client with idle connections to the hosts.
    pub client: HttpClient,
    /// Scenario that the requests belong to.
    pub scenario: Arc<Scenario>,
    /// Start of the run.
    pub start: Instant,
}

/// The part of a response that has arrived so far.
#[derive(Debug, Default)]
struct ReceivedResponse {
    code: Option<String>,
    ended: bool,
    first_token: Option<Instant>,
    foreign: bool,
    replayed: bool,
    status: u16,
    streamed: bool,
    tokens: u32,
    verdict: Option<Verdict>,
}

impl Caller {
    /// Sends one request to a host and records the response.
    pub(crate) async fn call(&self, address: SocketAddr, planned: &PlannedRequest) -> Record {
        let intended = self.start + planned.at;
        let mut received = ReceivedResponse::default();
        let outcome = timeout(
            RESPONSE_TIMEOUT,
            self.exchange(address, planned, &mut received),
        )
        .await;
        let answered = matches!(outcome, Ok(Ok(())));
        self.record(planned, intended, &received, answered)
    }

    fn record(
        &self,
        planned: &PlannedRequest,
        intended: Instant,
        received: &ReceivedResponse,
        answered: bool,
    ) -> Record {
        let flow = &self.scenario.flows[planned.flow];
        let class = self
            .scenario
            .class(&flow.class)
            .expect("the scenario is validated");
        let ending = match (answered, received.status) {
            (false, 200) => Ending::Broken,
            (false, _) => Ending::Lost,
            (true, 200) if received.replayed => Ending::Replayed,
            (true, 200) if received.ended => Ending::Finished,
            (true, 200) => Ending::Broken,
            (true, _) => Ending::Refused,
        };
        let span_ms = |at: Instant| at.saturating_duration_since(intended).as_secs_f64() * 1e3;
        let complete = matches!(ending, Ending::Finished | Ending::Replayed);
        Record {
            class: flow.class.clone(),
            code: received.code.clone(),
            ended_ms: self.start.elapsed().as_secs_f64() * 1e3,
            ending,
            first_token_ms: received.first_token.map(span_ms),
            foreign: received.foreign,
            intended_ms: planned.at.as_secs_f64() * 1e3,
            once: flow.keyed || flow.service.is_some() || !class.idempotent,
            received: received.tokens,
            status: received.status,
            streamed: received.streamed,
            tag: planned.tag.clone(),
            team: flow.team.clone(),
            tier: class.tier,
            verdict: received.verdict.or(complete.then_some(Verdict::Ran)),
            wanted: if flow.service.is_some() {
                1
            } else {
                planned.output_tokens
            },
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        planned: &PlannedRequest,
        received: &mut ReceivedResponse,
    ) -> eyre::Result<()> {
        let request = self.request(address, planned)?;
        let (response, sender) = self.client.send(address, request).await?;
        received.read_head(&response);
        let stream = response
            .headers()
            .get("content-type")
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        received.streamed = stream;
        if stream {
            received.read_stream(response, &planned.tag).await?;
        } else {
            let body = response.into_body().collect().await?.to_bytes();
            received.read_body(&body, &planned.tag);
        }
        self.client.return_idle(address, sender);
        Ok(())
    }

    fn request(
        &self,
        address: SocketAddr,
        planned: &PlannedRequest,
    ) -> eyre::Result<Request<Full<Bytes>>> {
        let flow = &self.scenario.flows[planned.flow];
        let team = self.scenario.team(&flow.team)?;
        let (path, body) = match &flow.service {
            Some(service) => (
                format!("/services/{service}/call"),
                json!({ "tag": planned.tag }),
            ),
            None => (
                "/v1/chat/completions".to_string(),
                self.completion_body(flow, planned),
            ),
        };
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", team.key()))
            .header(router::CLASS_HEADER, flow.class.as_str());
        if flow.keyed {
            let key = format!("{}-{}", self.scenario.name, planned.tag);
            request = request.header(router::KEY_HEADER, key);
        }
        Ok(request.body(Full::new(body.to_string().into()))?)
    }

    fn completion_body(&self, flow: &Flow, planned: &PlannedRequest) -> Value {
        let prefix = format!("prefix {:016x} ", planned.prefix);
        let length = flow.prompt_tokens as usize * BYTES_PER_TOKEN;
        let content: String = prefix.chars().cycle().take(length).collect();
        json!({
            "model": Fleet::MODEL,
            "messages": [{"role": "user", "content": content}],
            "stream": flow.stream,
            "metadata": {"output_tokens": planned.output_tokens.to_string(), "tag": planned.tag},
        })
    }
}

impl ReceivedResponse {
    fn read_head(&mut self, response: &Response<Incoming>) {
        self.status = response.status().as_u16();
        self.replayed = response.headers().contains_key(router::REPLAYED_HEADER);
        self.verdict = response
            .headers()
            .get(router::VERDICT_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok());
    }

    fn read_body(&mut self, body: &[u8], tag: &str) {
        let value: Value = serde_json::from_slice(body).unwrap_or_default();
        if self.status != 200 {
            self.read_error(&value);
            return;
        }
        self.first_token = Some(Instant::now());
        self.ended = true;
        if value.get("done").is_some() {
            self.tokens = 1;
            self.foreign = value["tag"] != tag;
            return;
        }
        let content = value["choices"][0]["message"]["content"].as_str();
        self.read_content(content.unwrap_or_default(), tag);
    }

    fn read_error(&mut self, value: &Value) {
        let error = &value["error"];
        self.code = error["code"].as_str().map(str::to_string);
        if let Some(verdict) = error["verdict"].as_str().and_then(|text| text.parse().ok()) {
            self.verdict = Some(verdict);
        }
    }

    /// Checks and counts the words of the content. Engine stand-ins send one word per
    /// token: the tag of the request and the index of the token, counted from 0.
    fn read_content(&mut self, content: &str, tag: &str) {
        for word in content.split_whitespace() {
            let expected = format!("{tag}:{}", self.tokens);
            self.foreign |= word != expected;
            self.tokens += 1;
        }
    }

    async fn read_stream(&mut self, response: Response<Incoming>, tag: &str) -> eyre::Result<()> {
        use eventsource_stream::Eventsource;
        let mut events = BodyDataStream::new(response.into_body()).eventsource();
        while let Some(event) = events.next().await {
            let event = event.map_err(|error| eyre!("stream was interrupted: {error}"))?;
            if event.data == "[DONE]" {
                self.ended = true;
                continue;
            }
            let value: Value = serde_json::from_str(&event.data)?;
            if event.event == "error" {
                self.read_error(&value);
                continue;
            }
            self.first_token.get_or_insert_with(Instant::now);
            let content = value["choices"][0]["delta"]["content"].as_str();
            self.read_content(content.unwrap_or_default(), tag);
        }
        Ok(())
    }
}
