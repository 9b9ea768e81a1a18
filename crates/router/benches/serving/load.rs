use super::*;

/// Duration of one measurement of the maximum rate.
const RATE_WINDOW: Duration = Duration::from_secs(3);

/// Timings of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub between: Duration,
    pub first_token: Duration,
}

/// Measured throughput per second.
pub struct Rates {
    pub requests_per_s: f64,
    pub tokens_per_s: f64,
}

fn request(to: SocketAddr, tokens: u32) -> Request<Full<bytes::Bytes>> {
    let body = json!({
        "model": "small", "stream": true,
        "messages": [{"role": "user", "content": "which scraps match?"}],
        "metadata": {"output_tokens": tokens.to_string(), "tag": "t"},
    });
    Request::post("/v1/chat/completions")
        .header("host", to.to_string())
        .header("authorization", "Bearer key")
        .body(Full::new(body.to_string().into()))
        .unwrap()
}

type Sender = hyper::client::conn::http1::SendRequest<Full<bytes::Bytes>>;

async fn connect(to: SocketAddr) -> Sender {
    let stream = TcpStream::connect(to).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Measures one stream over a new connection, starting when the request is sent.
pub async fn timed(to: SocketAddr, tokens: u32) -> Timing {
    let mut sender = connect(to).await;
    let start = Instant::now();
    let response = sender.send_request(request(to, tokens)).await.unwrap();
    assert_eq!(response.status(), 200);
    let mut frames = BodyDataStream::new(response.into_body());
    frames.next().await.unwrap().unwrap();
    let first_token = start.elapsed();
    let mut last = first_token;
    while let Some(frame) = frames.next().await {
        let frame = frame.unwrap();
        if !frame.ends_with(b"[DONE]\n\n") {
            last = start.elapsed();
        }
    }
    Timing {
        between: (last - first_token) / (tokens - 1),
        first_token,
    }
}

pub fn percentile(timings: &[Timing], part: fn(&Timing) -> Duration, share: f64) -> Duration {
    let mut parts: Vec<Duration> = timings.iter().map(part).collect();
    parts.sort_unstable();
    parts[((parts.len() - 1) as f64 * share).round() as usize]
}

/// Keeps `at_once` streams open for `RATE_WINDOW` and counts what is received.
pub async fn measure_rates(to: &[SocketAddr], at_once: usize, tokens: u32) -> Rates {
    let start = Instant::now();
    let streams = (0..at_once).map(|number| {
        let to = to[number % to.len()];
        tokio::spawn(async move {
            let mut sender = connect(to).await;
            let (mut requests, mut events) = (0_u64, 0_u64);
            while start.elapsed() < RATE_WINDOW {
                sender.ready().await.unwrap();
                let response = sender.send_request(request(to, tokens)).await.unwrap();
                assert_eq!(response.status(), 200);
                let mut frames = BodyDataStream::new(response.into_body());
                while let Some(frame) = frames.next().await {
                    let frame = frame.unwrap();
                    events += events_in(&frame);
                }
                requests += 1;
            }
            (requests, events)
        })
    });
    let mut total = (0, 0);
    for stream in futures::future::join_all(streams).await {
        let (requests, events) = stream.unwrap();
        total.0 += requests;
        total.1 += events - requests;
    }
    let seconds = start.elapsed().as_secs_f64();
    Rates {
        requests_per_s: total.0 as f64 / seconds,
        tokens_per_s: total.1 as f64 / seconds,
    }
}

/// Counts the events in a chunk of a stream. Each event has one line that starts with `data`,
/// and chunks end at event boundaries.
fn events_in(frame: &[u8]) -> u64 {
    frame
        .windows(6)
        .filter(|window| *window == b"data: ")
        .count() as u64
}
