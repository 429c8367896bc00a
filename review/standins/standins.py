"""Stand-ins for the platform's store, runners and consumers, and a starter of routers, for the scripts of the review.

All listen on loopback addresses. The store and the runners live in the process of the script; routers are processes of
their own, started with the command of the deploy file.
"""

import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path
from urllib.parse import unquote

PROGRAM = "target/release/turmerichollow"
HEARTBEAT_MS = 1200
DRAIN_MS = 2500
ID = "x-turmerichollow-request-id"


class Record:
    """Writes what happens to record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


class Closed(Exception):
    """The other side has closed the channel."""


class Channel:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buf = b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed()
        self.buf += data

    def line(self):
        while b"\r\n" not in self.buf:
            self.fill()
        line, self.buf = self.buf.split(b"\r\n", 1)
        return line.decode("latin-1")

    def exactly(self, count):
        while len(self.buf) < count:
            self.fill()
        data, self.buf = self.buf[:count], self.buf[count:]
        return data

    def head(self):
        """Returns the first line and the headers, names in lower case."""
        first = self.line()
        headers = {}
        while True:
            line = self.line()
            if not line:
                return first, headers
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def chunk(self):
        """Returns the next chunk; empty at the end of the body."""
        size = int(self.line().split(";")[0], 16)
        data = self.exactly(size)
        self.line()
        return data

    def body(self, headers):
        """Returns a whole body and whether it is framed and complete; one without a frame ends with the channel."""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            data = b""
            while part := self.chunk():
                data += part
            return data
        if "content-length" in headers:
            return self.exactly(int(headers["content-length"]))
        return b""


def listen(address="127.0.0.1", port=0):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(512)
    return sock


def free_port(address):
    sock = socket.socket()
    sock.bind((address, 0))
    port = sock.getsockname()[1]
    sock.close()
    return port


class Server:
    """Accepts channels and serves each in a thread; `stop` closes all of them."""

    def __init__(self, address="127.0.0.1"):
        self.listener = listen(address)
        self.address = "%s:%d" % self.listener.getsockname()
        self.open = set()
        self.lock = threading.Lock()
        self.stopped = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                if self.stopped:
                    sock.close()
                    return
                self.open.add(sock)
            threading.Thread(target=self.serve_socket, args=(sock,), daemon=True).start()

    def serve_socket(self, sock):
        try:
            channel = Channel(sock)
            while True:
                self.serve(channel, *channel.head())
        except (Closed, OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.open.discard(sock)
            sock.close()

    def stop(self):
        with self.lock:
            self.stopped = True
            sockets = list(self.open)
        self.listener.close()
        for sock in sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def send_json(channel, status, content, extra=""):
    body = json.dumps(content).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    channel.sock.sendall(head.encode() + body)


class Store(Server):
    """The platform's store: items with revisions, watches, transactions and leases."""

    PAGE, PAGE_BYTES = 500, 1 << 20

    def __init__(self, address="127.0.0.1"):
        self.items = {}
        self.events = []
        self.leases = {}
        self.revision = 100
        self.next_lease = 1
        self.changed = threading.Condition()
        super().__init__(address)
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value, lease=0):
        """Writes an item as the operator or a runner does; `value` is bytes, or content for JSON."""
        with self.changed:
            self.revision += 1
            self.write(key, value, lease)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            self.revision += 1
            self.remove(key)
            self.changed.notify_all()

    def write(self, key, value, lease):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.events.append({"Key": key, "Revision": self.revision, "Removed": True})

    def expire(self):
        while not self.stopped:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                for lease in [l for l, (_, until) in self.leases.items() if until <= now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["Lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.remove(key)
        self.changed.notify_all()

    def serve(self, channel, first, headers):
        method, target, _ = first.split(" ")
        body = channel.body(headers)
        path, _, query = target.partition("?")
        query = {k: unquote(v) for k, v in (part.split("=", 1) for part in query.split("&") if "=" in part)}
        content = json.loads(body) if body else {}
        status, answer = self.answer(method, path, query, content)
        send_json(channel, status, answer, "Store-Era: 1\r\n")

    def answer(self, method, path, query, content):
        if (method, path) == ("GET", "/kv-watch"):
            return self.watch(query)
        with self.changed:
            if (method, path) == ("GET", "/kv-key"):
                item = self.items.get(query["Key"])
                return (200, {**item, "AsOf": self.revision}) if item else (404, {})
            if (method, path) == ("GET", "/kv-range"):
                prefix, after = query["PathPrefix"], query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                page = self.page([self.items[k] for k in keys])
                return 200, {"items": page, "HasMore": len(keys) > len(page), "AsOf": self.revision}
            if (method, path) == ("POST", "/kv-txn"):
                return self.transact(content)
            if (method, path) == ("POST", "/kv-lease"):
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                self.leases[lease] = (content["TtlMs"], time.monotonic() + content["TtlMs"] / 1000)
                return 200, {"Lease": lease, "TtlMs": content["TtlMs"]}
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            if path.startswith("/kv-keep/"):
                self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
                return 200, {"TtlMs": ttl_ms}
            self.end_lease(lease)
            return 200, {}

    def page(self, items):
        """Returns the first page of items: at most 500 or about 1 MB."""
        size, page = 0, []
        for item in items[: self.PAGE]:
            page.append(item)
            size += len(json.dumps(item))
            if size >= self.PAGE_BYTES:
                break
        return page

    def transact(self, content):
        puts, deletes = content.get("Puts", []), content.get("Deletes", [])
        keys = [put["Key"] for put in puts] + deletes
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for row in content.get("Precondition", []):
            if self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"]:
                rows = [self.items[r["Key"]] for r in content["Precondition"] if r["Key"] in self.items]
                return 412, {"items": rows}
        if any(put.get("Lease") and put["Lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self.write(put["Key"], base64.b64decode(put["Value"]), put.get("Lease") or 0)
        for key in deletes:
            self.remove(key)
        self.changed.notify_all()
        return 200, {"Revision": self.revision}

    def watch(self, query):
        prefix, after = query["PathPrefix"], int(query["after"])
        until = time.monotonic() + min(int(query.get("WaitMs", 0)), 30000) / 1000
        with self.changed:
            while True:
                events = [e for e in self.events if e["Revision"] > after and e["Key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0 or self.stopped:
                    return 200, {"Events": events, "AsOf": self.revision}
                self.changed.wait(left)


class Runner(Server):
    """A runner that writes its entry into the store at each heartbeat. Subclasses run requests."""

    def __init__(self, record, store, name, service, version="v1", slots=24, models=(), zone="z-a", address="127.0.0.1"):
        self.record, self.store, self.name, self.slots = record, store, name, slots
        self.born = int(time.time() * 1000)
        self.entry = {
            "Service": service,
            "Address": "",
            "Zone": zone,
            "Version": version,
            "Slots": slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 0,
            "born": self.born,
        }
        if models:
            self.entry["Stage"] = "both"
            self.entry["Models"] = [{"Name": m, "Version": 1, "Adapters": []} for m in models]
        self.beats = True
        super().__init__(address)
        self.entry["Address"] = self.address
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while self.beats and not self.stopped:
            self.entry["Sequence"] += 1
            self.store.put(f"servers/{self.name}", self.entry)
            time.sleep(HEARTBEAT_MS / 1000)

    def serve(self, channel, first, headers):
        method, target, _ = first.split(" ")
        body = channel.body(headers)
        if headers.get("x-turmerichollow-expect-instance", self.name) != self.name:
            head = f"HTTP/1.1 421 X\r\nX-Turmerichollow-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n"
            return channel.sock.sendall(head.encode())
        if target == "/report":
            report = {"Models": self.entry.get("Models", []), "Stage": "both", "Busy": False, "Sequence": 0}
            return send_json(channel, 200, report)
        version = headers.get("x-turmerichollow-expect-version")
        models = {m["Name"]: m["Version"] for m in self.entry.get("Models", [])}
        has = models.get(headers.get("x-turmerichollow-model"))
        if version and has is not None and int(version) != has:
            head = (
                f"HTTP/1.1 421 X\r\nX-Turmerichollow-Instance-Id: {self.name}\r\n{ID}: {headers[ID]}\r\n"
                f"X-Turmerichollow-Weight-Versions: {has}\r\nContent-Length: 0\r\n\r\n"
            )
            return channel.sock.sendall(head.encode())
        self.run(channel, method, target, headers, body)


class Router:
    """A process of the program, started with the command of the deploy file."""

    def __init__(self, store, folder, name, address, zone="z-a", first_start=True, seeds=(), **more):
        self.folder, self.name, self.ip = Path(folder), name, address
        ports = {key: free_port(address) for key in ("callers", "readiness", "bootstrap", "peer", "metrics")}
        self.callers = (address, ports["callers"])
        self.readiness = (address, ports["readiness"])
        self.settings = {
            "name": name,
            "domain": zone,
            "regions": {"z-a": "r-a", "z-b": "r-b"},
            "capacity": 1000.0,
            "listen": {
                "callers": f"{address}:{ports['callers']}",
                "readiness": f"{address}:{ports['readiness']}",
                "bootstrap": f"{address}:{ports['bootstrap']}",
                "peer_port": ports["peer"],
                "metrics_port": ports["metrics"],
            },
            "store": store.address,
            "seeds": list(seeds) or [f"{address}:{ports['bootstrap']}"],
            "order_lease_ms": 3000,
            "fenced": True,
            "heartbeat_ms": HEARTBEAT_MS,
            "min_lease_ms": 1000,
            "first_start": first_start,
            "memory_mb": 260,
            "weights_due_ms": 8000,
            "repeat_ratio": 0.2,
            "repeat_reserve": 56,
            "stop_s": 8,
            **more,
        }
        self.process = None
        self.start()

    def start(self):
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        log = open(self.folder / f"{self.name}.log", "a")
        env = {**os.environ, "TURMERICHOLLOW_SETTINGS": str(path)}
        self.process = subprocess.Popen([PROGRAM, "forward"], env=env, stdout=log, stderr=log)

    def restart(self):
        """Starts the process again after it was ended; the system has started before."""
        self.settings["first_start"] = False
        self.start()

    def kill(self):
        self.process.kill()
        self.process.wait()

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def is_ready(self):
        try:
            with socket.create_connection(self.readiness, 1) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return Channel(sock).head()[0].split(" ")[1] == "200"
        except (OSError, Closed):
            return False

    def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False


class Answer:
    """What a consumer got: status, headers, body, and how it ended."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = None


def request(address, method, path, headers, body=b"", seconds=20):
    """Sends one request on a new channel, and reads the whole answer."""
    answer = Answer()
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    try:
        with socket.create_connection(address, 1) as sock:
            sock.settimeout(seconds)
            sock.sendall(head.encode() + b"\r\n" + body)
            channel = Channel(sock)
            first, answer.headers = channel.head()
            answer.status = int(first.split(" ")[1])
            if answer.headers.get("transfer-encoding", "").lower() == "chunked":
                while part := channel.chunk():
                    answer.body += part
            else:
                answer.body = channel.body(answer.headers)
            answer.complete = True
    except (OSError, Closed, ValueError) as e:
        answer.error = repr(e)
    return answer


class Case:
    """Runs a case and ends all processes that it started."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(Path(folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.routers = []
        self.servers = []

    def router(self, *args, **more):
        router = Router(args[0], self.folder, *args[1:], **more)
        self.routers.append(router)
        return router

    def add(self, server):
        self.servers.append(server)
        return server

    def finish(self):
        for router in self.routers:
            if router.process.poll() is None:
                router.process.kill()
            router.process.wait()
        for server in self.servers:
            server.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            for log in Path(self.folder).glob("*"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


def main(folder, run):
    """Runs `run(case)`, which returns whether the rule held; returns the exit code of the script."""
    case = Case(folder)
    signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(SystemExit(2)))
    try:
        held = run(case)
        case.record(f"result: {'could not run' if held is None else 'held' if held else 'broken'}")
        return 2 if held is None else 0 if held else 1
    except Exception as e:
        case.record(f"could not run: {e!r}")
        return 2
    finally:
        case.finish()
