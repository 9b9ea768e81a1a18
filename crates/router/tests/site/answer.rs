use super::*;

/// A response of a host, read to its end.
#[derive(Debug)]
pub struct Answer {
    pub body: String,
    /// Words of the content, in the order received.
    pub content: Vec<String>,
    /// Whether the end mark of the stream was received.
    pub ended: bool,
    pub error: Option<Value>,
    pub replayed: bool,
    pub retry_after: Option<u64>,
    pub status: u16,
    pub verdict: Option<String>,
}

impl Answer {
    pub async fn read(response: Response<Incoming>) -> Self {
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            Some(value.to_str().unwrap().to_string())
        };
        let stream = header("content-type").is_some_and(|text| text.starts_with("text/event"));
        let mut answer = Self {
            body: String::new(),
            content: Vec::new(),
            ended: false,
            error: None,
            replayed: header("idempotent-replayed").is_some(),
            retry_after: header("retry-after").map(|text| text.parse().unwrap()),
            status: response.status().as_u16(),
            verdict: header("x-request-verdict"),
        };
        if stream && !answer.replayed {
            answer.read_stream(response).await;
        } else {
            answer.read_whole(response).await;
        }
        answer
    }

    async fn read_stream(&mut self, response: Response<Incoming>) {
        let mut events = BodyDataStream::new(response.into_body()).eventsource();
        while let Some(Ok(event)) = events.next().await {
            if event.data == "[DONE]" {
                self.ended = true;
                continue;
            }
            let value: Value = serde_json::from_str(&event.data).unwrap();
            if event.event == "error" {
                self.take_error(&value);
                continue;
            }
            self.take_content(&value["choices"][0]["delta"]["content"]);
        }
    }

    async fn read_whole(&mut self, response: Response<Incoming>) {
        let body = response.into_body().collect().await.unwrap().to_bytes();
        self.body = String::from_utf8_lossy(&body).into_owned();
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        if value["error"].is_object() {
            self.take_error(&value);
            return;
        }
        self.ended = true;
        self.take_content(&value["choices"][0]["message"]["content"]);
    }

    fn take_error(&mut self, value: &Value) {
        self.error = Some(value["error"].clone());
        if let Some(verdict) = value["error"]["verdict"].as_str() {
            self.verdict = Some(verdict.to_string());
        }
    }

    fn take_content(&mut self, content: &Value) {
        let content = content.as_str().unwrap_or_default();
        self.content
            .extend(content.split_whitespace().map(str::to_string));
    }

    pub fn code(&self) -> &str {
        let error = self.error.as_ref().expect("an error answer");
        error["code"].as_str().unwrap()
    }

    pub fn verdict(&self) -> &str {
        self.verdict.as_deref().unwrap_or("none")
    }

    /// Panics unless this is the whole answer to a request with this tag.
    pub fn assert_whole(&self, tag: &str, tokens: u32) {
        let expected: Vec<String> = (0..tokens).map(|index| format!("{tag}:{index}")).collect();
        assert_eq!(self.status, 200, "{self:?}");
        assert!(self.ended, "no end mark: {self:?}");
        assert_eq!(self.content, expected);
    }

    /// Returns the status, code and verdict of an error response.
    pub fn refusal(&self) -> (u16, &str, &str) {
        (self.status, self.code(), self.verdict())
    }
}
