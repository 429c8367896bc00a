//! Settings of one router process.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use flexi_logger::LogSpecification;

use crate::settings_reader::SettingsReader;
use crate::Limits;
use crate::SettingsError;

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Maximum length of the name of a VM, region or failure domain, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Bytes of a mebibyte.
const MB_BYTES: u64 = 1 << 20;

const DEFAULT_LOG: &str = "info";

/// Settings of one router process, from its settings file.
#[derive(Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the VM.
    pub vm: String,
    /// Region of the VM.
    pub region: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Address on which the router listens for callers.
    pub listen: SocketAddr,
    /// Address on which the router listens for other routers.
    pub peer_listen: SocketAddr,
    /// Address of the platform's key-value service.
    pub key_value: SocketAddr,
    /// Address of the platform's membership list.
    pub membership: SocketAddr,
    /// Secret with which routers authenticate to each other.
    pub peer_secret: Vec<u8>,
    /// Key of the MAC in event ids, the same on all routers.
    pub event_secret: Vec<u8>,
    /// Limits on memory, connections, bodies and times.
    pub limits: Limits,
    /// Log specification, such as `info` or `warn, router=debug`.
    pub log: String,
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = fs::read(path).map_err(|e| SettingsError::Unreadable {
            file: file.clone(),
            reason: e.to_string(),
        })?;
        Settings::parse(&file, &text)
    }

    /// Parses and checks the content of a settings file. `file` is its name in errors.
    pub fn parse(file: &str, text: &[u8]) -> Result<Settings, SettingsError> {
        let mut reader = SettingsReader::parse(file, text)?;
        let settings = Settings {
            vm: name(&mut reader, "vm")?,
            region: name(&mut reader, "region")?,
            failure_domain: name(&mut reader, "failure_domain")?,
            listen: own_address(&mut reader, "listen")?,
            peer_listen: own_address(&mut reader, "peer_listen")?,
            key_value: reader.address("key_value")?,
            membership: reader.address("membership")?,
            peer_secret: secret(&mut reader, "peer_secret", "peer_secret_file")?,
            event_secret: secret(&mut reader, "event_secret", "event_secret_file")?,
            limits: match reader.section("limits")? {
                Some(section) => limits(section)?,
                None => Limits::default(),
            },
            log: log(&mut reader)?,
        };
        let same_port = settings.listen.port() != 0 && settings.listen == settings.peer_listen;
        if same_port {
            return Err(reader.field_error("peer_listen", "expected another address than listen"));
        }
        reader.finish()?;
        Ok(settings)
    }
}

/// Reads an address on which this VM listens. It must not be unspecified (`0.0.0.0` or `::`),
/// because it is also announced to other VMs.
fn own_address(
    reader: &mut SettingsReader,
    field: &'static str,
) -> Result<SocketAddr, SettingsError> {
    let address = reader.address(field)?;
    if address.ip().is_unspecified() {
        let expected = "expected an address at which other VMs reach this one";
        return Err(reader.field_error(field, expected));
    }
    Ok(address)
}

fn name(reader: &mut SettingsReader, field: &'static str) -> Result<String, SettingsError> {
    let name = reader.required_text(field)?;
    let valid = (1..=MAX_NAME_BYTES).contains(&name.len())
        && name
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/');
    if !valid {
        return Err(reader.field_error(
            field,
            "expected a name of 1 to 128 printable ASCII bytes without `/`",
        ));
    }
    Ok(name)
}

fn secret(
    reader: &mut SettingsReader,
    field: &'static str,
    file_field: &'static str,
) -> Result<Vec<u8>, SettingsError> {
    let secret = match (reader.text(field)?, reader.text(file_field)?) {
        (Some(secret), None) => secret.into_bytes(),
        (None, Some(path)) => match fs::read(&path) {
            Ok(content) => content.trim_ascii().to_vec(),
            Err(e) => {
                let expected = format!("expected a readable file, found {path}: {e}");
                return Err(reader.field_error(file_field, &expected));
            }
        },
        _ => {
            let expected = format!("expected either this field or {file_field}");
            return Err(reader.field_error(field, &expected));
        }
    };
    if secret.len() < MIN_SECRET_BYTES {
        return Err(reader.field_error(field, "expected a secret of at least 16 bytes"));
    }
    Ok(secret)
}

fn limits(mut reader: SettingsReader) -> Result<Limits, SettingsError> {
    let default = Limits::default();
    let time = 10..=3_600_000;
    let connections = u64::try_from(default.connections).unwrap_or(u64::MAX);
    let connections = reader.number("connections", 1..=1_000_000, connections)?;
    let limits = Limits {
        memory_bytes: match reader.number("memory_mb", 1..=1 << 30, 0)? {
            0 => default.memory_bytes,
            memory_mb => memory_mb * MB_BYTES,
        },
        descriptors: reader.number("descriptors", 100..=1 << 30, default.descriptors)?,
        connections: usize::try_from(connections).unwrap_or(usize::MAX),
        body_bytes: reader.number("body_bytes", 1_024..=1 << 30, default.body_bytes)?,
        header_ms: reader.number("header_ms", time.clone(), default.header_ms)?,
        body_ms: reader.number("body_ms", time.clone(), default.body_ms)?,
        write_ms: reader.number("write_ms", time.clone(), default.write_ms)?,
        shutdown_notice_ms: reader.number(
            "shutdown_notice_ms",
            0..=60_000,
            default.shutdown_notice_ms,
        )?,
        shutdown_ms: reader.number("shutdown_ms", time, default.shutdown_ms)?,
    };
    reader.finish()?;
    Ok(limits)
}

fn log(reader: &mut SettingsReader) -> Result<String, SettingsError> {
    let spec = reader
        .text("log")?
        .unwrap_or_else(|| DEFAULT_LOG.to_owned());
    match LogSpecification::parse(&spec) {
        Ok(_) => Ok(spec),
        Err(_) => Err(reader.field_error(
            "log",
            "expected a log specification such as `info` or `warn, router=debug`",
        )),
    }
}
