//! What a host answers other hosts of an installation: its configuration, and what it
//! learned of the store's tables.

use {
    super::*,
    peer::http_api::{
        CONFIGURATION_AGE_HEADER, DOCUMENT_PATH, LISTEN_ADDRESS_HEADER, REFERRAL_HEADER,
        REVISION_HEADER, STORE_LOST_HEADER, STORE_REGAINED_HEADER, TABLES_COPY_PATH, TABLES_PATH,
        TRANSIT_PATH, VERSION_HEADER, bearer,
    },
};

/// Hosts that are handed the configuration at one time; others are sent elsewhere.
/// Four packed documents of 7,000 routes take half a second on a link of 10 Mbit/s.
const MAX_LENT: usize = 4;

/// Time after which a host that was handed the configuration counts no more, so that four
/// that lost their power on the way do not keep all others from it.
const LENT_FOR: Duration = Duration::from_secs(3);

/// Rows from which an answer counts as large: about 10 KB of upstreams.
const LARGE_ROWS: usize = 256;

/// Serves the configuration to hosts with the same secret.
///
/// What goes wrong without it: the store turns a host away and serves the others;
/// a new version comes, and the host must refuse every key, although its
/// neighbors know the version. One would notice `configuration_stale` on some
/// hosts while the store is well.
#[derive(Clone)]
pub(crate) struct PeerService {
    /// Notified when another host asks for what this one cannot tell.
    pub(crate) asked: flume::Sender<()>,
    pub(crate) clock: Clock,
    pub(crate) allocation: Arc<ArcSwapOption<ServedConfiguration>>,
    pub(crate) received: Arc<Mutex<ReceivedTables>>,
    pub(crate) lending: Lending,
    pub(crate) packed: Arc<Mutex<PackedNews>>,
    pub(crate) token: String,
    pub(crate) transfers: Arc<Mutex<TableTransferSlots>>,
    pub(crate) transit: TransitService,
}

impl PeerService {
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let presented = request.headers().get(AUTHORIZATION);
        let presented = presented.map_or(&b""[..], HeaderValue::as_bytes);
        let known: bool = presented.ct_eq(bearer(&self.token).as_bytes()).into();
        let path = request.uri().path();
        if !known {
            return text_answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
        }
        if path == TRANSIT_PATH {
            return self.transit.answer(request).await;
        }
        let document = path.strip_prefix(DOCUMENT_PATH);
        if let Some(newer_than) = document.and_then(|rest| rest.parse().ok()) {
            return self.document(newer_than);
        }
        let to = listens(request.headers());
        if let Some(question) = question(path, TABLES_PATH) {
            return self.tables(&question, to);
        }
        match question(path, TABLES_COPY_PATH) {
            Some(question) => self.copy(&question, to),
            None => text_answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n"),
        }
    }

    fn document(&self, newer_than: u64) -> Response<AnswerBody> {
        let allocation = self.allocation.load_full();
        let newer = allocation.filter(|allocation| allocation.document.version.get() > newer_than);
        let Some(allocation) = newer else {
            return text_answer(StatusCode::NO_CONTENT, "text/plain", Bytes::new());
        };
        match self.lending.lend(allocation.document.packed.clone()) {
            Some(packed) => self.hand_over(&allocation, packed),
            None => text_answer(StatusCode::TOO_MANY_REQUESTS, "text/plain", "busy\n"),
        }
    }

    /// What the store said of its tables, and how old the configuration is.
    fn tables(&self, question: &TablesRequest, to: Option<SocketAddr>) -> Response<AnswerBody> {
        let advertised = lock(&self.received).advertised(self.clock.now());
        let allocation = self.allocation.load_full();
        if !matches!(advertised, TablesAdvertised::News { .. }) {
            // A full ring holds the same news.
            let _ = self.asked.try_send(());
        }
        match (advertised, allocation) {
            (TablesAdvertised::StoreLost, _) => {
                let mut response = refused();
                response.headers_mut().insert(STORE_LOST_HEADER, 1.into());
                response
            }
            (TablesAdvertised::News { regained }, Some(allocation)) => {
                let mut response = self.send_news(question, to);
                let headers = response.headers_mut();
                if let Some(since) = regained {
                    headers.insert(STORE_REGAINED_HEADER, (since.as_millis() as u64).into());
                }
                self.tell_knowledge(&allocation, headers);
                response
            }
            _ => refused(),
        }
    }

    /// A copy of the tables, for a host that found the one busy that asks the store.
    fn copy(&self, question: &TablesRequest, to: Option<SocketAddr>) -> Response<AnswerBody> {
        match lock(&self.received).rows_for(question) {
            Some(_) => self.send_news(question, to),
            None => refused(),
        }
    }

    /// Sends what changed after the revisions; where that is large and others get it
    /// already, refers to hosts that have it.
    fn send_news(&self, question: &TablesRequest, to: Option<SocketAddr>) -> Response<AnswerBody> {
        let rows = lock(&self.received).rows_for(question);
        let slot = if rows.unwrap_or_default() < LARGE_ROWS {
            None
        } else {
            match lock(&self.transfers).begin(self.clock.now(), to) {
                None => return self.refer(),
                taken => taken,
            }
        };
        let sending = slot.map(|number| Sending {
            number,
            transfers: Arc::clone(&self.transfers),
        });
        let news = lock(&self.received).news_for(question);
        let packed = news.map(|news| lock(&self.packed).pack(news));
        let Some(Ok(bytes)) = packed else {
            return refused();
        };
        let body = match sending {
            Some(sending) => Bytes::from_owner(Sent {
                bytes,
                _sending: sending,
            }),
            None => bytes,
        };
        text_answer(StatusCode::OK, "application/octet-stream", body)
    }

    fn refer(&self) -> Response<AnswerBody> {
        let mut response = text_answer(StatusCode::TOO_MANY_REQUESTS, "text/plain", "busy\n");
        let recipients = lock(&self.transfers).recipients();
        let recipients: Vec<String> = recipients.iter().map(SocketAddr::to_string).collect();
        if let Ok(value) = recipients.join(",").parse() {
            response.headers_mut().insert(REFERRAL_HEADER, value);
        }
        response
    }

    fn hand_over(&self, allocation: &ServedConfiguration, packed: Bytes) -> Response<AnswerBody> {
        let mut response = text_answer(StatusCode::OK, "application/gzip", packed);
        let headers = response.headers_mut();
        headers.insert(REVISION_HEADER, allocation.document.revision.into());
        self.tell_knowledge(allocation, headers);
        response
    }

    fn tell_knowledge(&self, allocation: &ServedConfiguration, headers: &mut HeaderMap) {
        headers.insert(VERSION_HEADER, allocation.document.version.get().into());
        if let Some(as_of) = allocation.as_of {
            let age = self.clock.now().since(as_of);
            headers.insert(CONFIGURATION_AGE_HEADER, (age.as_millis() as u64).into());
        }
    }
}

fn refused() -> Response<AnswerBody> {
    text_answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "unknown\n")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where the asking host serves others, if it says so.
fn listens(headers: &HeaderMap) -> Option<SocketAddr> {
    headers
        .get(LISTEN_ADDRESS_HEADER)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// A slot for a large answer; it is given back with this value.
struct Sending {
    number: u64,
    transfers: Arc<Mutex<TableTransferSlots>>,
}

impl Drop for Sending {
    fn drop(&mut self) {
        lock(&self.transfers).end(self.number);
    }
}

/// Bytes of a large answer on their way.
struct Sent {
    bytes: Bytes,
    _sending: Sending,
}

impl AsRef<[u8]> for Sent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The large news packed last: hosts that start together ask for the same.
#[derive(Default)]
pub(crate) struct PackedNews {
    last: Option<(TablesResponse, Bytes)>,
}

impl PackedNews {
    fn pack(&mut self, news: TablesResponse) -> Result<Bytes, MessageError> {
        if news.rows() < LARGE_ROWS {
            return Ok(news.to_bytes()?.into());
        }
        if let Some((last, bytes)) = &self.last
            && *last == news
        {
            return Ok(bytes.clone());
        }
        let bytes = Bytes::from(news.to_bytes()?);
        self.last = Some((news, bytes.clone()));
        Ok(bytes)
    }
}

/// The question for the tables in a path that begins so.
fn question(path: &str, prefix: &str) -> Option<TablesRequest> {
    path.strip_prefix(prefix)?.parse().ok()
}

/// Counts the hosts that are being handed the configuration.
#[derive(Clone, Default)]
pub(crate) struct Lending {
    /// When each of them began, under a number of its own.
    began: Arc<Mutex<BTreeMap<u64, Instant>>>,
}

impl Lending {
    /// Bytes to be sent to one more host; `None` if there are enough.
    fn lend(&self, bytes: Bytes) -> Option<Bytes> {
        let mut began = lock(&self.began);
        began.retain(|_, began| began.elapsed() < LENT_FOR);
        if began.len() >= MAX_LENT {
            return None;
        }
        let number = began.last_key_value().map_or(0, |(number, _)| number + 1);
        began.insert(number, Instant::now());
        Some(Bytes::from_owner(Lent {
            bytes,
            lending: self.clone(),
            number,
        }))
    }
}

/// Bytes on their way to another host; they are given back when they have been written.
struct Lent {
    bytes: Bytes,
    lending: Lending,
    number: u64,
}

impl AsRef<[u8]> for Lent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        lock(&self.lending.began).remove(&self.number);
    }
}
