"""Stand-ins of runners: model engines that take orders, and answers of the kinds that the pages name."""
import asyncio
import json
import time

import http11


class Server:
    """A runner that registers itself in the store. Subclasses answer requests."""

    zone = "z-a"
    slots = 24

    def __init__(self, record, store, identity, service, address, models=None):
        self.record, self.store = record, store
        self.id, self.service, self.address = identity, service, address
        self.models = dict(models or {})
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=8 << 20)
        await self.register()

    async def register(self):
        models = [{"Name": name, "Version": version, "Adapters": []} for name, version in self.models.items()]
        await self.store.put(f"servers/{self.id}", {
            "Service": self.service, "Address": "%s:%d" % self.address, "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "Stage": "both", "Models": models,
            "Sequence": 1, "born": self.born,
        })

    async def serve(self, reader, writer):
        try:
            while head := await http11.read_head(reader):
                body = await http11.read_body(reader, head)
                if not await self.respond(head, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def respond(self, head, body, writer):
        """Answers one call. Returns whether the channel is kept."""
        expected = head.get("x-turmerichollow-expect-instance")
        if expected not in (None, self.id):
            await self.send(writer, 421, {"X-Turmerichollow-Instance-Id": self.id}, b"")
            return True
        if head.path == "/report":
            await self.send_json(writer, 200, self.report())
            return True
        if head.path == "/healthz":
            health = json.dumps({"born": self.born}).encode()
            await self.send(writer, 200, {"X-Turmerichollow-Instance-Id": self.id}, health)
            return True
        if head.path == "/order" and head.method == "POST":
            status = await self.order(json.loads(body))
            await self.send_json(writer, status, {})
            return True
        return await self.run(head, body, writer)

    def report(self):
        models = [{"Name": name, "Version": version, "Adapters": []} for name, version in self.models.items()]
        return {"Stage": "both", "Models": models, "Busy": False, "Sequence": 0, "Queued": 0, "Running": 0,
                "KvUsed": 0, "KvTotal": 90000, "Handles": 0, "born": self.born}

    async def order(self, order):
        return 400

    async def run(self, head, body, writer):
        raise NotImplementedError

    async def send(self, writer, status, headers, body):
        writer.write(http11.message(f"HTTP/1.1 {status} X", {**headers, "Content-Length": len(body)}, body))
        await writer.drain()

    async def send_json(self, writer, status, value):
        await self.send(writer, status, {"Content-Type": "application/json"}, json.dumps(value).encode())


class Engine(Server):
    """A model engine that takes new weights by order, where fences aren't checked."""

    load_s = 0.3

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.accepted = 0
        self.loading = False
        self.orders = []

    def report(self):
        return {**super().report(), "Busy": self.loading, "Sequence": self.accepted}

    async def order(self, order):
        status = self.decide(order)
        self.orders.append((time.monotonic(), order["Holder"], order["FencingToken"]))
        self.record.note(self.id, f"order of {order['Holder']}, fence {order['FencingToken']}, "
                                  f"version {order['Version']}: {status}")
        if status == 202:
            self.accepted += 1
            self.loading = True
            self.task = asyncio.create_task(self.load(order["Model"], order["Version"]))
        return status

    def decide(self, order):
        if self.loading or order.get("Precondition", self.accepted) != self.accepted:
            return 409
        return 200 if self.models.get(order["Model"]) == order["Version"] else 202

    async def load(self, model, version):
        await asyncio.sleep(self.load_s)
        self.models[model] = version
        self.loading = False
        await self.register()


class Application(Server):
    """A plain service whose answers take `work_s`. It notes what it has run."""

    slots = 24
    work_s = 1.5

    async def run(self, head, body, writer):
        identity = head.get("x-turmerichollow-request-id")
        run = {"id": identity, "at": time.monotonic(), "bytes": len(body), "ended": False}
        self.runs.append(run)
        self.record.note(self.id, f"runs {head.method} {head.path} of {identity}, {len(body)} bytes")
        await asyncio.sleep(0.02 if head.method == "GET" else self.work_s)
        run["ended"] = True
        headers = {"X-Turmerichollow-Request-Id": identity, "X-Turmerichollow-Response-Signature": f"s.{identity}",
                   "Keep-Alive": "timeout=10"}
        await self.send(writer, 200, headers, b"done " + identity.encode())
        return True
