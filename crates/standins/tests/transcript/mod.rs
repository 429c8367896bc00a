//! A session as one text: what callers sent and received, and what the
//! outside systems say of it at the end.

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

/// Longest body that is written out, in bytes.
const MAX_BODY_BYTES: usize = 400;

/// Time for which engines keep a stream that nobody reads, in milliseconds.
const GRACE_MS: u64 = 600_000;

/// A fleet on loopback and what its callers have seen.
pub struct Session {
    /// Fleet.
    pub fleet: Fleet,
    text: String,
    placeholders: Placeholders,
}

impl Session {
    /// Starts a session with a fleet of this many engines and routers.
    pub async fn start(engines: usize, routers: usize) -> Session {
        Session::start_with(FleetSettings::new(engines, routers)).await
    }

    /// Starts a session with a fleet of these settings.
    pub async fn start_with(settings: FleetSettings) -> Session {
        let settings = settings.each_engine(|engine| engine.grace_ms = GRACE_MS);
        Session {
            fleet: Fleet::start(settings).await.expect("starts"),
            text: String::new(),
            placeholders: Placeholders::default(),
        }
    }

    /// Sends a request to a router and writes the answer down, up to its end.
    pub async fn exchange(&mut self, router: usize, req: &Request) {
        let mut response = self.open(router, req).await;
        self.read_all(&mut response).await;
    }

    /// Sends a request to a router and writes the answer's head down.
    pub async fn open(&mut self, router: usize, req: &Request) -> ResponseReader {
        self.write_request(router, req);
        let response = ResponseReader::send(self.fleet.router(router).address(), req).await;
        self.write_head(router, &response);
        response
    }

    /// Writes an exchange down that has taken place.
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

    /// Reads this many events of an answer and returns the id of the last one.
    pub async fn read(&mut self, response: &mut ResponseReader, events: usize) -> String {
        let mut last_id = None;
        for _ in 0..events {
            let event = response.next().await.expect("goes on");
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            last_id = id.map(str::to_owned).or(last_id);
            self.write_body(&event);
        }
        last_id.expect("an event has an id")
    }

    /// Reads an answer up to its end.
    pub async fn read_all(&mut self, response: &mut ResponseReader) {
        while let Some(part) = response.next().await {
            self.write_body(&part);
        }
        match response.is_complete() {
            true => self.text.push_str("(end of the answer)\n\n"),
            false => self.text.push_str("(the connection broke)\n\n"),
        }
    }

    /// Writes down what happens.
    pub fn note(&mut self, what: &str) {
        writeln!(self.text, "== {what}\n").expect("a string takes all");
    }

    /// Returns the session with what the outside systems say at the end.
    pub async fn end(mut self) -> String {
        let records = ledgers::render(&self.fleet, &mut self.placeholders).await;
        self.text.push_str(&records);
        self.text
    }

    fn write_request(&mut self, router: usize, req: &Request) {
        let text = &mut self.text;
        let line = format!("{} {} HTTP/1.1", req.method, req.target);
        writeln!(text, "--> router-{}\n{line}", router + 1).expect("a string takes all");
        for (name, value) in &req.headers {
            let value = match *name {
                "idempotency-key" if value.len() == 36 => {
                    self.placeholders.placeholder("key", value)
                }
                "last-event-id" => self.placeholders.mask_event_id(value),
                _ => value.clone(),
            };
            writeln!(text, "{name}: {value}").expect("a string takes all");
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
        writeln!(text, "<-- router-{}\nHTTP/1.1 {status}", router + 1).expect("a string takes all");
        for (name, value) in response.headers() {
            let value = match name.as_str() {
                "date" => "<date>".to_owned(),
                "retry-after" => "<seconds>".to_owned(),
                _ => value,
            };
            writeln!(text, "{name}: {value}").expect("a string takes all");
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
            writeln!(self.text, "{line}").expect("a string takes all");
        }
        self.text.push('\n');
    }
}
