//! A stand-in of the platform's interface for the duties of one node at a time: it accepts what it
//! gets, checks no fence, and keeps what it accepted.

use {
    crate::{http, record::Record},
    serde_json::Value,
    std::{
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex},
        time::Instant,
    },
};

/// An accepted call.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub at: Instant,
    pub body: Value,
    pub holder: String,
    pub path: String,
    pub token: u64,
}

#[derive(Clone)]
pub struct Cloud {
    pub address: SocketAddr,
    accepted: Arc<Mutex<Vec<DutyCall>>>,
    record: Record,
}

impl Cloud {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let cloud = Self {
            address: listener.local_addr().unwrap(),
            accepted: Arc::default(),
            record: record.clone(),
        };
        let listening = cloud.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cloud = listening.clone();
                std::thread::spawn(move || cloud.serve(stream));
            }
        });
        cloud
    }

    pub fn accepted(&self) -> Vec<DutyCall> {
        self.accepted.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = http::read_message(&mut stream, &mut buffer) {
            let header = |name: &str| request.header(name).unwrap_or_default().to_string();
            let call = DutyCall {
                at: Instant::now(),
                body: serde_json::from_slice(&request.body).unwrap_or_default(),
                holder: header("x-duty-holder"),
                path: request.target().to_string(),
                token: header("x-fencing-token").parse().unwrap_or_default(),
            };
            self.record.say(format!(
                "platform accepts {} of {} with token {:#x}: {}",
                call.path, call.holder, call.token, call.body
            ));
            self.accepted.lock().unwrap().push(call);
            if stream.write_all(&http::response(200, &[], b"")).is_err() {
                return;
            }
        }
    }
}
