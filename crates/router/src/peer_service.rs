//! What a host answers other hosts of an installation: its configuration, and what it
//! heard of the store's tables.

use {
    super::*,
    peer::handing::{
        AGE_HEADER, DOCUMENT_PATH, LOST_HEADER, REGAINED_HEADER, REVISION_HEADER, TABLES_PATH,
        VERSION_HEADER, bearer,
    },
};

/// Hosts that are handed the configuration at one time; others are told to ask elsewhere.
/// Four packed documents of 7,000 routes take half a second on a link of 10 Mbit/s.
const MAX_LENT: usize = 4;

/// Time after which a host that was handed the configuration counts no more, so that four
/// that lost their power on the way do not keep all others from it.
const LENT_FOR: Duration = Duration::from_secs(3);

/// Serves the configuration to hosts with the same secret.
///
/// What goes wrong without it: the store turns a host away and serves the others;
/// a new version comes, and the host must refuse every key, although its
/// neighbors know the version. One would notice `configuration_stale` on some
/// hosts while the store is well.
#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) clock: Clock,
    pub(crate) handout: Arc<ArcSwapOption<Handout>>,
    pub(crate) heard: Arc<Mutex<HeardTables>>,
    pub(crate) lending: Lending,
    pub(crate) token: String,
}

impl PeerService {
    pub(crate) fn answer(&self, request: &Request<Incoming>) -> Response<AnswerBody> {
        let presented = request.headers().get(AUTHORIZATION);
        let presented = presented.map_or(&b""[..], HeaderValue::as_bytes);
        let known: bool = presented.ct_eq(bearer(&self.token).as_bytes()).into();
        let path = request.uri().path();
        if !known {
            return text_answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n");
        }
        let document = path.strip_prefix(DOCUMENT_PATH);
        if let Some(newer_than) = document.and_then(|rest| rest.parse().ok()) {
            return self.document(newer_than);
        }
        match path.strip_prefix(TABLES_PATH).and_then(revisions) {
            Some((upstreams, hosts)) => self.tables(upstreams, hosts),
            None => text_answer(StatusCode::NOT_FOUND, "text/plain", "no such path\n"),
        }
    }

    fn document(&self, newer_than: u64) -> Response<AnswerBody> {
        let handout = self.handout.load_full();
        let newer = handout.filter(|handout| handout.document.version.get() > newer_than);
        let Some(handout) = newer else {
            return text_answer(StatusCode::NO_CONTENT, "text/plain", Bytes::new());
        };
        match self.lending.lend(handout.document.packed.clone()) {
            Some(packed) => self.hand_over(&handout, packed),
            None => text_answer(StatusCode::TOO_MANY_REQUESTS, "text/plain", "busy\n"),
        }
    }

    /// What the store said of its tables, and how old the configuration is.
    fn tables(&self, upstreams: u64, hosts: u64) -> Response<AnswerBody> {
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let handout = self.handout.load_full();
        let refused = || text_answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "unknown\n");
        match (heard.after(self.clock.now(), upstreams, hosts), handout) {
            (TablesTold::StoreLost, _) => {
                let mut response = refused();
                response.headers_mut().insert(LOST_HEADER, 1.into());
                response
            }
            (TablesTold::News { news, regained }, Some(handout)) => {
                let Ok(body) = serde_json::to_vec(&news) else {
                    return refused();
                };
                let mut response = text_answer(StatusCode::OK, "application/json", body);
                let headers = response.headers_mut();
                if let Some(since) = regained {
                    headers.insert(REGAINED_HEADER, (since.as_millis() as u64).into());
                }
                self.tell_knowledge(&handout, headers);
                response
            }
            _ => refused(),
        }
    }

    fn hand_over(&self, handout: &Handout, packed: Bytes) -> Response<AnswerBody> {
        let mut response = text_answer(StatusCode::OK, "application/gzip", packed);
        let headers = response.headers_mut();
        headers.insert(REVISION_HEADER, handout.document.revision.into());
        self.tell_knowledge(handout, headers);
        response
    }

    fn tell_knowledge(&self, handout: &Handout, headers: &mut HeaderMap) {
        headers.insert(VERSION_HEADER, handout.document.version.get().into());
        if let Some(as_of) = handout.as_of {
            let age = self.clock.now().since(as_of);
            headers.insert(AGE_HEADER, (age.as_millis() as u64).into());
        }
    }
}

/// The revisions of a question for the tables.
fn revisions(path: &str) -> Option<(u64, u64)> {
    let (upstreams, hosts) = path.split_once('/')?;
    Some((upstreams.parse().ok()?, hosts.parse().ok()?))
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
        let mut began = self.began.lock().unwrap_or_else(PoisonError::into_inner);
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
        let mut began = self
            .lending
            .began
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        began.remove(&self.number);
    }
}
