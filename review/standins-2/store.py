"""Stand-in of the platform's metadata store: items, watches, leases that run out, and transactions."""
import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

import http11

PAGE_ITEMS = 500


class Store:
    """The store; `loses(method, path, body)` says whether the answer to a call that was done is lost."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.last_lease = 70
        self.changed = asyncio.Condition()
        self.loses = lambda method, path, body: False
        self.writes = []

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address, limit=8 << 20)
        self.expiry = asyncio.create_task(self.expire())

    # What the operator and the servers write.

    async def put(self, key, value, lease=0):
        self.write(key, base64.b64encode(json.dumps(value).encode()).decode(), lease)
        await self.notify()

    async def remove(self, key):
        self.delete(key)
        await self.notify()

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["Value"]) if item else None

    # Contents.

    def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {"Key": key, "Value": value, "Revision": self.revision, "Created": created, "Lease": lease}
        self.items[key] = item
        self.events.append(item)

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"Key": key, "Revision": self.revision, "Removed": True})

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.delete(key)

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            over = [lease for lease, (until, _) in self.leases.items() if until <= time.monotonic()]
            for lease in over:
                self.record.note("store", f"lease {lease} has run out")
                self.end_lease(lease)
            if over:
                await self.notify()

    # Calls.

    async def serve(self, reader, writer):
        try:
            while head := await http11.read_head(reader):
                body = await http11.read_body(reader, head)
                status, answer = await self.call(head, body)
                if head.method != "GET":
                    lost = self.loses(head.method, head.path, body)
                    self.writes.append((time.monotonic(), head.path, lost))
                    if lost:
                        self.record.note("store", f"{head.method} {head.path} done with {status}, answer lost")
                        await reader.read()
                        break
                text = json.dumps(answer).encode()
                headers = {"Content-Type": "application/json", "Store-Era": "1", "Content-Length": len(text)}
                writer.write(http11.message(f"HTTP/1.1 {status} X", headers, text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, head, body):
        url = urlsplit(head.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name = url.path
        if name == "/kv-range":
            return 200, self.range(query["PathPrefix"], query.get("after", ""))
        if name == "/kv-watch":
            return await self.watch(query["PathPrefix"], int(query["after"]), int(query["WaitMs"]))
        if name == "/kv-key":
            item = self.items.get(query["Key"])
            return (200, {**item, "AsOf": self.revision}) if item else (404, {"AsOf": self.revision})
        if name == "/kv-txn":
            status, answer = self.commit(json.loads(body))
            await self.notify()
            return status, answer
        if name == "/kv-lease":
            self.last_lease += 1
            ttl_s = json.loads(body)["TtlMs"] / 1000
            self.leases[self.last_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"Lease": self.last_lease, "TtlMs": int(ttl_s * 1000)}
        lease = int(unquote(name.rsplit("/", 1)[1]))
        if lease not in self.leases:
            return 404, {}
        _, ttl_s = self.leases[lease]
        if name.startswith("/kv-keep/"):
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"TtlMs": int(ttl_s * 1000)}
        self.record.note("store", f"lease {lease} is ended by its holder")
        self.end_lease(lease)
        await self.notify()
        return 200, {}

    def range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": items, "HasMore": len(keys) > PAGE_ITEMS, "AsOf": self.revision}

    async def watch(self, prefix, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [e for e in self.events if e["Revision"] > after and e["Key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"Events": events, "AsOf": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, txn):
        rows = txn.get("Precondition") or []
        for row in rows:
            known = self.items.get(row["Key"], {"Revision": 0})["Revision"]
            if known != row["Revision"]:
                present = [self.items[r["Key"]] for r in rows if r["Key"] in self.items]
                return 412, {"items": present}
        for put in txn.get("Puts") or []:
            if put.get("Lease") and put["Lease"] not in self.leases:
                return 404, {}
        for put in txn.get("Puts") or []:
            self.write(put["Key"], put["Value"], put.get("Lease") or 0)
        for key in txn.get("Deletes") or []:
            self.delete(key)
        return 200, {"Revision": self.revision}
