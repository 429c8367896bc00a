//! Transcript of a session: all requests and responses of its callers, then the ledgers and call
//! records of the stand-ins.

mod ledgers;
mod placeholders;
mod request;
mod response;

pub use request::idempotency_key;
pub use request::Request;
pub use response::ResponseReader;

use std::fmt::Write;

use standins::Fleet;
use standins::FleetSettings;

use placeholders::Placeholders;

/// Maximum size of a request body that the transcript contains in full, in bytes.
const MAX_BODY_BYTES: usize = 400;

/// Time after which engines abandon a stream without a reader, in milliseconds; longer than any
/// session.
const GRACE_MS: u64 = 600_000;

/// A fleet on loopback and the transcript of its exchanges.
pub struct Session {
    /// The fleet that the session uses.
    pub fleet: Fleet,
    /// Transcript up to now.
    text: String,
    placeholders: Placeholders,
}

impl Session {
    /// Starts a session with a fleet of the given numbers of engines and routers.
    pub async fn start(engines: usize, routers: usize) -> Session {
        Session::start_with(FleetSettings::new(engines, routers)).await
    }

    /// Starts a session with a fleet that has these settings.
    pub async fn start_with(settings: FleetSettings) -> Session {
        let settings = settings.each_engine(|engine| engine.grace_ms = GRACE_MS);
        Session {
            fleet: Fleet::start(settings).await.expect("starts"),
            text: String::new(),
            placeholders: Placeholders::default(),
        }
    }

    /// Sends a request to a router and records it with the complete response.
    pub async fn exchange(&mut self, router: usize, req: &Request) {
        let mut response = self.open(router, req).await;
        self.read_all(&mut response).await;
    }

    /// Sends a request to a router and records it with the head of the response.
    pub async fn open(&mut self, router: usize, req: &Request) -> ResponseReader {
        self.write_request(router, req);
        let response = ResponseReader::send(self.fleet.router(router).address(), req).await;
        self.write_head(router, &response);
        response
    }

    /// Records a request that has been sent already, and reads its response to the end.
    pub async fn record_exchange(
        &mut self,
        router: usize,
        req: &Request,
        response: &mut ResponseReader,
    ) {
        self.write_request(router, req);
        self.write_head(router, response);
        self.read_all(response).await;
    }

    /// Reads and records `events` events of a response and returns the id of the last one.
    pub async fn read(&mut self, response: &mut ResponseReader, events: usize) -> String {
        let mut last_id = None;
        for _ in 0..events {
            let event = response.next().await.expect("stream continues");
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            last_id = id.map(str::to_owned).or(last_id);
            self.write_body(&event);
        }
        last_id.expect("at least one event has an id")
    }

    /// Reads and records a response to its end.
    pub async fn read_all(&mut self, response: &mut ResponseReader) {
        while let Some(part) = response.next().await {
            self.write_body(&part);
        }
        match response.is_complete() {
            true => self.text.push_str("(end of the response)\n\n"),
            false => self.text.push_str("(connection broken)\n\n"),
        }
    }

    /// Adds a heading that describes the next step.
    pub fn note(&mut self, what: &str) {
        writeln!(self.text, "== {what}\n").expect("writing to a String never fails");
    }

    /// Returns the transcript, with the ledgers and call records at its end.
    pub async fn end(mut self) -> String {
        let records = ledgers::render(&self.fleet, &mut self.placeholders).await;
        self.text.push_str(&records);
        self.text
    }

    fn write_request(&mut self, router: usize, req: &Request) {
        let text = &mut self.text;
        let line = format!("{} {} HTTP/1.1", req.method, req.target);
        writeln!(text, "--> router-{}\n{line}", router + 1)
            .expect("writing to a String never fails");
        for (name, value) in &req.headers {
            let value = match *name {
                "idempotency-key" if value.len() == 36 => {
                    self.placeholders.placeholder("key", value)
                }
                "last-event-id" => self.placeholders.mask_event_id(value),
                _ => value.clone(),
            };
            writeln!(text, "{name}: {value}").expect("writing to a String never fails");
        }
        text.push('\n');
        match req.body.len() {
            0 => {}
            1..=MAX_BODY_BYTES => text.push_str(&format!("{}\n\n", req.body)),
            bytes => text.push_str(&format!("<{bytes} bytes>\n\n")),
        }
    }

    fn write_head(&mut self, router: usize, response: &ResponseReader) {
        let text = &mut self.text;
        let status = response.status();
        writeln!(text, "<-- router-{}\nHTTP/1.1 {status}", router + 1)
            .expect("writing to a String never fails");
        for (name, value) in response.headers() {
            let value = match name.as_str() {
                "date" => "<date>".to_owned(),
                "retry-after" => "<seconds>".to_owned(),
                _ => value,
            };
            writeln!(text, "{name}: {value}").expect("writing to a String never fails");
        }
        text.push('\n');
    }

    fn write_body(&mut self, part: &str) {
        for line in part.lines() {
            let line = match line.split_once(": ") {
                Some(("id", id)) => format!("id: {}", self.placeholders.mask_event_id(id)),
                Some(("data", data)) => format!("data: {}", self.placeholders.mask_json(data)),
                _ => self.placeholders.mask_json(line),
            };
            writeln!(self.text, "{line}").expect("writing to a String never fails");
        }
        self.text.push('\n');
    }
}
