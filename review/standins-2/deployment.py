"""Starts routers by the deploy file, on loopback addresses, and ends all that a case has started."""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case couldn't run, which shows nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.began_at = time.monotonic()
        self.note("case", f"begins, TROUBLE={int(TROUBLE)}")

    def note(self, who, text):
        self.file.write(f"{time.monotonic() - self.began_at:8.3f} {who}: {text}\n")
        self.file.flush()


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


class Router:
    """A process of the system on a loopback address of its own, started as the deploy file says."""

    def __init__(self, record, folder, name, host, zone, store, seeds, bounds, limits):
        self.record, self.name, self.host = record, name, host
        self.front = (host, free_port(host))
        self.ready = (host, free_port(host))
        self.control = (host, free_port(host))
        self.log = open(Path(folder) / f"{name}.log", "wb")
        self.settings = Path(folder) / f"{name}.json"
        self.fields = {
            "NodeName": name, "Zone": zone, "Zones": {zone: zone},
            "ListenAddrs.Front": "%s:%d" % self.front,
            "ListenAddrs.Ready": "%s:%d" % self.ready,
            "ListenAddrs.Control": "%s:%d" % self.control,
            "InternalPorts.0": free_port(host), "Platform.Address": "%s:%d" % store, "Platform.TtlMinMs": 1000,
            "Seeds": seeds, "HeartbeatMs": 1200, "FirstStart": True,
            **{f"Limits.{key}": value for key, value in limits.items()},
            **{f"Bounds.{key}": value for key, value in bounds.items()},
        }
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["router"]
        template = (ROOT / deploy["template"]).read_text()
        settings = fill(template, self.fields)
        json.loads(settings)
        self.settings.write_text(settings)
        command = [str(ROOT / deploy["run"].split()[0]), *deploy["run"].split()[1:]]
        if not Path(command[0]).exists():
            raise CannotRun(f"{command[0]} isn't built")
        env = {"PATH": os.environ.get("PATH", ""), "TURMERICHOLLOW_SETTINGS": str(self.settings)}
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.record.note(self.name, f"started as process {self.process.pid}")

    def signal(self, number):
        self.record.note(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def runs(self):
        return self.process is not None and self.process.poll() is None

    async def until_ready(self, limit_s=20):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if not self.runs():
                raise CannotRun(f"{self.name} has ended")
            if await ready_status(self.ready) == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} doesn't become ready")

    def end(self):
        if self.runs():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self.log.close()


async def ready_status(address):
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return int(line.split()[1])
    except (OSError, IndexError, ValueError, asyncio.TimeoutError):
        return None


def fill(template, fields):
    """Fills the template of the settings as the platform does, as far as this template needs it."""

    def section(match):
        key, body = match.group(1), match.group(2)
        value = fields.get(key)
        if isinstance(value, list):
            last = len(value) - 1
            return "".join(
                body.replace("{{.}}", str(v)).replace("{{,}}", "," if i < last else "") for i, v in enumerate(value)
            )
        return body.replace("{{.}}", str(value)) if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(fields.get(m.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(fields.get(m.group(1), "")), text)


def run_case(folder, case, limit_s=110):
    """Runs `case(record, scratch folder)`, which returns whether the rule held. Returns the exit code."""
    record = Record(folder)
    # Channels of stand-ins that are still open at the end are closed with the process.
    sys.unraisablehook = lambda *_: None
    scratch = tempfile.mkdtemp(prefix="review-")
    started = []

    async def run():
        # Stand-ins that wait for the next call are cancelled at the end.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(record, scratch, started), limit_s)

    try:
        held = asyncio.run(run())
        code = 0 if held else 1
    except (CannotRun, asyncio.TimeoutError, OSError) as e:
        record.note("case", f"couldn't run: {e!r}")
        code = 2
    finally:
        for process in started:
            process.end()
        if os.environ.get("KEEP_LOGS"):
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.note("case", {0: "the rule held", 1: "the rule was broken", 2: "no result"}[code])
    return code
