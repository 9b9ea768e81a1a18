use super::*;

/// Builder for a request to a test site.
pub struct Ask<'a> {
    address: SocketAddr,
    body: Option<String>,
    class: String,
    headers: Vec<(String, String)>,
    key: String,
    model: String,
    output: u32,
    path: String,
    stream: bool,
    tag: String,
    site: &'a Site,
}

impl<'a> Ask<'a> {
    pub fn new(site: &'a Site, class: &str) -> Self {
        Self {
            address: site.address(),
            body: None,
            class: class.to_string(),
            headers: Vec::new(),
            key: "shop-key".to_string(),
            model: "small".to_string(),
            output: 4,
            path: "/v1/chat/completions".to_string(),
            stream: true,
            tag: "tag".to_string(),
            site,
        }
    }

    /// Sets the number of output tokens.
    pub fn output_tokens(mut self, tokens: u32) -> Self {
        self.output = tokens;
        self
    }

    /// Sends the request to the host with this number instead of the first host.
    pub fn at_host(mut self, number: usize) -> Self {
        self.address = self.site.hosts().nth(number).unwrap().caller_address();
        self
    }

    pub fn without_streaming(mut self) -> Self {
        self.stream = false;
        self
    }

    pub fn tagged(mut self, tag: &str) -> Self {
        self.tag = tag.to_string();
        self
    }

    pub fn with_team(mut self, team: &str) -> Self {
        self.key = format!("{team}-key");
        self
    }

    pub fn for_model(mut self, model: &str) -> Self {
        self.model = model.to_string();
        self
    }

    pub fn at_service(mut self, service: &str) -> Self {
        self.path = format!("/services/{service}/call");
        self
    }

    pub fn at_path(mut self, path: &str) -> Self {
        self.path = path.to_string();
        self
    }

    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    pub fn with_key(self, key: &str) -> Self {
        self.with_header("idempotency-key", key)
    }

    pub fn with_body(mut self, body: &str) -> Self {
        self.body = Some(body.to_string());
        self
    }

    pub fn request(&self) -> Request<Full<Bytes>> {
        let body = match &self.body {
            Some(body) => body.clone(),
            None if self.path.starts_with("/services/") => json!({"tag": self.tag}).to_string(),
            None => json!({
                "model": self.model,
                "messages": [{"role": "user", "content": "which scraps match?"}],
                "stream": self.stream,
                "metadata": {"output_tokens": self.output.to_string(), "tag": self.tag},
            })
            .to_string(),
        };
        let mut request = Request::post(&self.path)
            .header("host", self.address.to_string())
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .header("x-request-class", &self.class);
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        request.body(Full::new(body.into())).unwrap()
    }

    pub async fn send(self) -> Answer {
        Answer::read(exchange(self.address, self.request()).await).await
    }

    /// Sends the request and returns the response before its body is read.
    pub async fn begin(self) -> Response<Incoming> {
        exchange(self.address, self.request()).await
    }

    /// Spawns a task that sends the request and returns the answer.
    pub fn spawn(self) -> tokio::task::JoinHandle<Answer> {
        let address = self.address;
        let request = self.request();
        tokio::spawn(async move { Answer::read(exchange(address, request).await).await })
    }
}
