//! Answers requests of other hosts of an installation for this host's configuration and for its
//! copy of the store's tables.

use {
    super::*,
    peer::http_api::{
        CONFIGURATION_AGE_HEADER, DOCUMENT_PATH, LISTEN_ADDRESS_HEADER, REFERRAL_HEADER,
        REVISION_HEADER, STORE_ERA_HEADER, STORE_LOST_HEADER, STORE_REGAINED_HEADER,
        TABLES_COPY_PATH, TABLES_PATH, TRANSIT_PATH, VERSION_HEADER, bearer,
    },
};

/// Number of hosts that are sent the configuration at the same time; others are told that this
/// host is busy, and ask another host. Four compressed documents of 7,000 routes take half a
/// second on a link of 10 Mbit/s.
const MAX_CONFIGURATION_TRANSFERS: usize = 4;

/// Time after which a transfer of the configuration no longer counts, so that four hosts that
/// lose power during their transfers do not block the transfers to all others.
const CONFIGURATION_TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of rows from which an answer counts as large: about 10 KB of upstream rows.
const LARGE_ANSWER_ROWS: usize = 256;

/// Serves the configuration and the tables to hosts that have the same secret.
///
/// Without this service, a host that the store rejects while it serves the others would miss a
/// new configuration version. The host would have to refuse every API key although its neighbors
/// know the version, and some hosts would report `configuration_stale` while the store works.
#[derive(Clone)]
pub(crate) struct PeerService {
    /// Notified when another host requests tables that this host cannot serve now.
    pub(crate) unanswered_requests: flume::Sender<()>,
    pub(crate) clock: Clock,
    pub(crate) served_configuration: Arc<ArcSwapOption<ServedConfiguration>>,
    pub(crate) received_tables: Arc<Mutex<ReceivedTables>>,
    pub(crate) configuration_transfers: ConfigurationTransfers,
    pub(crate) encoded_tables: Arc<Mutex<EncodedTables>>,
    pub(crate) token: String,
    pub(crate) table_transfers: Arc<Mutex<TableTransferSlots>>,
    pub(crate) transit: TransitService,
}

impl PeerService {
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let presented = request.headers().get(AUTHORIZATION);
        let presented = presented.map_or(&b""[..], HeaderValue::as_bytes);
        let authorized: bool = presented.ct_eq(bearer(&self.token).as_bytes()).into();
        let path = request.uri().path();
        if !authorized {
            return text_answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
        }
        if path == TRANSIT_PATH {
            return self.transit.answer(request).await;
        }
        let document = path.strip_prefix(DOCUMENT_PATH);
        if let Some(newer_than) = document.and_then(|rest| rest.parse().ok()) {
            return self.answer_document(newer_than);
        }
        let recipient = listen_address(request.headers());
        let era = store_era(request.headers());
        if let Some(tables_request) = parse_tables_request(path, TABLES_PATH, era) {
            return self.answer_tables(&tables_request, recipient);
        }
        match parse_tables_request(path, TABLES_COPY_PATH, era) {
            Some(tables_request) => self.answer_tables_copy(&tables_request, recipient),
            None => text_answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n"),
        }
    }

    fn answer_document(&self, newer_than: u64) -> Response<AnswerBody> {
        let configuration = self.served_configuration.load_full();
        let Some(configuration) = configuration else {
            return text_answer(StatusCode::NO_CONTENT, "text/plain", Bytes::new());
        };
        if configuration.document.version.get() <= newer_than {
            let mut response = text_answer(StatusCode::NO_CONTENT, "text/plain", Bytes::new());
            self.insert_version_and_age(&configuration, response.headers_mut());
            return response;
        }
        match self
            .configuration_transfers
            .begin(configuration.document.packed.clone())
        {
            Some(compressed) => self.document_answer(&configuration, compressed),
            None => text_answer(StatusCode::TOO_MANY_REQUESTS, "text/plain", "busy\n"),
        }
    }

    /// Answers with the changes of the store's tables, and with the version and age of the
    /// configuration.
    fn answer_tables(
        &self,
        tables_request: &TablesRequest,
        recipient: Option<SocketAddr>,
    ) -> Response<AnswerBody> {
        let availability = lock(&self.received_tables).availability(self.clock.now());
        let configuration = self.served_configuration.load_full();
        if !matches!(availability, TablesAvailability::Available { .. }) {
            // A full channel holds the same notification already.
            let _ = self.unanswered_requests.try_send(());
        }
        match (availability, configuration) {
            (TablesAvailability::StoreLost, _) => {
                let mut response = unavailable();
                response.headers_mut().insert(STORE_LOST_HEADER, 1.into());
                response
            }
            (TablesAvailability::Available { store_regained_ago }, Some(configuration)) => {
                let mut response = self.changes_answer(tables_request, recipient);
                let headers = response.headers_mut();
                if let Some(since) = store_regained_ago {
                    headers.insert(STORE_REGAINED_HEADER, (since.as_millis() as u64).into());
                }
                self.insert_version_and_age(&configuration, headers);
                response
            }
            _ => unavailable(),
        }
    }

    /// Answers with this host's copy of the tables, for a host whose request was refused as busy
    /// by the host that reads the store.
    fn answer_tables_copy(
        &self,
        tables_request: &TablesRequest,
        recipient: Option<SocketAddr>,
    ) -> Response<AnswerBody> {
        match lock(&self.received_tables).max_rows_for(tables_request) {
            Some(_) => self.changes_answer(tables_request, recipient),
            None => unavailable(),
        }
    }

    /// Answers with the changes after the requested revisions. If the answer is large and other
    /// hosts are already receiving theirs, it refers to hosts that have the tables.
    fn changes_answer(
        &self,
        tables_request: &TablesRequest,
        recipient: Option<SocketAddr>,
    ) -> Response<AnswerBody> {
        let rows = lock(&self.received_tables).max_rows_for(tables_request);
        let slot_number = if rows.unwrap_or_default() < LARGE_ANSWER_ROWS {
            None
        } else {
            match lock(&self.table_transfers).begin(self.clock.now(), recipient) {
                None => return self.referral(),
                taken => taken,
            }
        };
        let slot = slot_number.map(|number| TransferSlot {
            number,
            transfers: Arc::clone(&self.table_transfers),
        });
        let (era, response) = {
            let received = lock(&self.received_tables);
            (received.era(), received.response_to(tables_request))
        };
        let encoded = response.map(|response| lock(&self.encoded_tables).encode(response));
        let Some(Ok(bytes)) = encoded else {
            return unavailable();
        };
        let body = match slot {
            Some(slot) => Bytes::from_owner(TableTransfer { bytes, _slot: slot }),
            None => bytes,
        };
        let mut response = text_answer(StatusCode::OK, "application/octet-stream", body);
        let headers = response.headers_mut();
        headers.insert(STORE_ERA_HEADER, era.get().into());
        response
    }

    fn referral(&self) -> Response<AnswerBody> {
        let mut response = text_answer(StatusCode::TOO_MANY_REQUESTS, "text/plain", "busy\n");
        let recipients = lock(&self.table_transfers).recipients();
        let recipients: Vec<String> = recipients.iter().map(SocketAddr::to_string).collect();
        let headers = response.headers_mut();
        if let Ok(value) = recipients.join(",").parse() {
            headers.insert(REFERRAL_HEADER, value);
        }
        let era = lock(&self.received_tables).era();
        headers.insert(STORE_ERA_HEADER, era.get().into());
        response
    }

    fn document_answer(
        &self,
        configuration: &ServedConfiguration,
        compressed: Bytes,
    ) -> Response<AnswerBody> {
        let mut response = text_answer(StatusCode::OK, "application/gzip", compressed);
        let headers = response.headers_mut();
        let position = configuration.document.position;
        headers.insert(REVISION_HEADER, position.revision.into());
        headers.insert(STORE_ERA_HEADER, position.era.get().into());
        self.insert_version_and_age(configuration, headers);
        response
    }

    fn insert_version_and_age(&self, configuration: &ServedConfiguration, headers: &mut HeaderMap) {
        headers.insert(VERSION_HEADER, configuration.document.version.get().into());
        if let Some(as_of) = configuration.as_of {
            let age = self.clock.now().since(as_of);
            headers.insert(CONFIGURATION_AGE_HEADER, (age.as_millis() as u64).into());
        }
    }
}

fn unavailable() -> Response<AnswerBody> {
    text_answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "unknown\n")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Address at which the requesting host serves others, if its request has one.
fn listen_address(headers: &HeaderMap) -> Option<SocketAddr> {
    headers
        .get(LISTEN_ADDRESS_HEADER)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// A slot for the transfer of a large answer; dropping this value releases the slot.
struct TransferSlot {
    number: u64,
    transfers: Arc<Mutex<TableTransferSlots>>,
}

impl Drop for TransferSlot {
    fn drop(&mut self) {
        lock(&self.transfers).end(self.number);
    }
}

/// Bytes of a large answer; they hold a transfer slot until they are sent.
struct TableTransfer {
    bytes: Bytes,
    _slot: TransferSlot,
}

impl AsRef<[u8]> for TableTransfer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The last large answer in its encoded form. Hosts that start together request the same answer,
/// which is then encoded once.
#[derive(Default)]
pub(crate) struct EncodedTables {
    last: Option<(TablesResponse, Bytes)>,
}

impl EncodedTables {
    fn encode(&mut self, response: TablesResponse) -> Result<Bytes, MessageError> {
        if response.rows() < LARGE_ANSWER_ROWS {
            return Ok(response.to_bytes()?.into());
        }
        if let Some((last, bytes)) = &self.last
            && *last == response
        {
            return Ok(bytes.clone());
        }
        let bytes = Bytes::from(response.to_bytes()?);
        self.last = Some((response, bytes.clone()));
        Ok(bytes)
    }
}

/// Parses a request for the tables from a path that starts with `prefix`.
fn parse_tables_request(path: &str, prefix: &str, era: Option<StoreEra>) -> Option<TablesRequest> {
    let request: TablesRequest = path.strip_prefix(prefix)?.parse().ok()?;
    Some(TablesRequest { era, ..request })
}

/// Era of the revisions in a request; `None` if the host is of the previous release.
fn store_era(headers: &HeaderMap) -> Option<StoreEra> {
    let era = header_number(headers, STORE_ERA_HEADER)?;
    u32::try_from(era).ok().map(StoreEra::new)
}

/// Counts the running transfers of the configuration to other hosts.
#[derive(Clone, Default)]
pub(crate) struct ConfigurationTransfers {
    /// Start time of each transfer, by the transfer's number.
    started_at: Arc<Mutex<BTreeMap<u64, Instant>>>,
}

impl ConfigurationTransfers {
    /// Starts a transfer and returns its bytes; `None` if the maximum number of transfers is
    /// running.
    fn begin(&self, bytes: Bytes) -> Option<Bytes> {
        let mut started_at = lock(&self.started_at);
        started_at.retain(|_, started_at| started_at.elapsed() < CONFIGURATION_TRANSFER_TIMEOUT);
        if started_at.len() >= MAX_CONFIGURATION_TRANSFERS {
            return None;
        }
        let number = started_at
            .last_key_value()
            .map_or(0, |(number, _)| number + 1);
        started_at.insert(number, Instant::now());
        Some(Bytes::from_owner(ConfigurationTransfer {
            bytes,
            transfers: self.clone(),
            number,
        }))
    }
}

/// Bytes that are sent to another host. The transfer ends when they are dropped after they have
/// been written.
struct ConfigurationTransfer {
    bytes: Bytes,
    transfers: ConfigurationTransfers,
    number: u64,
}

impl AsRef<[u8]> for ConfigurationTransfer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for ConfigurationTransfer {
    fn drop(&mut self) {
        lock(&self.transfers.started_at).remove(&self.number);
    }
}
