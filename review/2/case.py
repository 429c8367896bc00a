"""Streams whose runner leaves before their first event go on at a runner of another software version."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
sys.dont_write_bytecode = True

from standins import DRAIN_MS, ID, Case, Closed, Runner, Store, Answer, Channel, main
import socket

MODEL, SERVICE, HOST, PATH = "m-one", "lm", "ask.example", "/ask/"
EVENTS, GAP_S = 36, 0.15
# Time from the arrival of a request at a runner to its first event, between the tokens of the other requests.
FIRST_EVENT_S = 0.5
# Requests a second, and the seconds around the moment at which a runner's entry goes.
RATE, BEFORE_S, AFTER_S = 24, 1.0, 1.5
# "and a little longer"
LINGER_S = 0.3


class Engine(Runner):
    """A model runner: its events name its software version, so that the record shows who made which."""

    def run(self, channel, method, target, headers, body):
        request = headers[ID]
        first = int(headers["last-event-id"]) + 1 if "last-event-id" in headers else 1
        self.record(f"{self.name} ({self.entry['Version']}) runs {request} from event {first}")
        time.sleep(FIRST_EVENT_S)
        channel.sock.sendall(
            (
                f"HTTP/1.1 200 OK\r\n{ID}: {request}\r\nX-Turmerichollow-Response-Signature: {self.name}.{request}\r\n"
                "X-Turmerichollow-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for event in range(first, EVENTS + 1):
            data = f"id: {event}\ndata: {self.entry['Version']}\n\n".encode()
            channel.sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            time.sleep(GAP_S)
        channel.sock.sendall(b"0\r\n\r\n")


def configuration():
    return {
        "Version": 7,
        "Routes": [
            {
                "Name": "ask",
                "Host": HOST,
                "PathPrefix": PATH,
                "Kind": "streaming",
                "TimeoutMs": 10000,
                "TargetLatencyMs": 800,
                "Priority": 1,
                "Service": SERVICE,
                "MaxAttempts": 2,
                "AllowAnonymous": True,
                "Sticky": True,
                "CanResume": True,
                "GapAimMs": 300,
            }
        ],
        "Services": [
            {
                "Name": SERVICE,
                "HealthPath": "/healthz",
                "MaxConnections": 210,
                "Engine": {"Slots": 64, "KvCapacityTokens": 2000000, "KvBytes": 163840, "Models": [{"Name": MODEL}]},
            }
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


class Stream(threading.Thread):
    """A consumer that asks once and reads the stream to its end."""

    def __init__(self, router, number):
        super().__init__(daemon=True)
        self.router, self.id = router, f"{number:016x}"
        self.versions, self.status, self.end = [], None, None

    def run(self):
        part = 1000 + int(self.id, 16)
        head = (
            f"POST {PATH}x HTTP/1.1\r\nHost: {HOST}\r\nX-Turmerichollow-Request-Id: {self.id}\r\n"
            f"X-Turmerichollow-Deadline-Ms: 10000\r\nX-Turmerichollow-Model: {MODEL}\r\n"
            f"X-Turmerichollow-Token-Usage: 3000,{EVENTS}\r\n"
            f"X-Turmerichollow-Prefix-Hash: {part:x}:2100,{part + 5000:x}:900\r\nContent-Length: 2\r\n\r\nhi"
        )
        try:
            with socket.create_connection(self.router.callers, 1) as sock:
                sock.settimeout(12)
                sock.sendall(head.encode())
                channel = Channel(sock)
                first, headers = channel.head()
                self.status = int(first.split(" ")[1])
                if headers.get("transfer-encoding") != "chunked":
                    channel.body(headers)
                    self.end = "answered"
                    return
                while data := channel.chunk():
                    for event in data.decode().split("\n\n"):
                        if "data: " in event:
                            self.versions.append(event.split("data: ")[1])
                self.end = "complete"
        except (OSError, Closed, ValueError) as e:
            self.end = f"broken off: {e!r}"


def leave(case, old):
    """A runner that never reports that it drains: its entry goes, it serves on for a while, then it ends."""
    old.beats = False
    old.store.delete(f"servers/{old.name}")
    case.record(f"the entry of {old.name} goes")
    time.sleep(DRAIN_MS / 1000 + LINGER_S)
    case.record(f"{old.name} ends")
    old.stop()


def run(case):
    store = case.add(Store())
    store.put("op/config", configuration())
    old = case.add(Engine(case.record, store, "i-old", SERVICE, "v1", 64, [MODEL]))
    case.add(Engine(case.record, store, "i-new", SERVICE, "v2", 64, [MODEL]))
    routers = [case.router(store, f"front-{n}", f"127.0.0.{10 + n}") for n in (1, 2)]
    if not all(router.wait_ready() for router in routers):
        return None
    time.sleep(2)
    streams = []
    leaver = threading.Timer(BEFORE_S, leave, (case, old))
    if case.trouble:
        leaver.start()
    until = time.monotonic() + BEFORE_S + AFTER_S
    while time.monotonic() < until:
        stream = Stream(routers[len(streams) % 2], len(streams) + 1)
        case.record(f"consumer sends {stream.id} to {stream.router.name}")
        stream.start()
        streams.append(stream)
        time.sleep(1 / RATE)
    for stream in streams:
        stream.join(14)
    joined = 0
    for stream in streams:
        kinds = sorted(set(stream.versions))
        joined += len(kinds) > 1
        runs = [f"{v} x {stream.versions.count(v)}" for v in kinds]
        case.record(f"{stream.id}: {stream.status}, {stream.end}, events: {', '.join(runs) or 'none'}")
    complete = sum(s.end == "complete" for s in streams)
    case.record(f"{len(streams)} streams, {complete} complete, {joined} hold events of two software versions (2 allowed)")
    if not case.trouble and complete < len(streams) * 0.9:
        return None
    return joined <= 2


if __name__ == "__main__":
    sys.exit(main(FOLDER, run))
