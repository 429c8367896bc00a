"""A model runner that caches prompt parts under the salt of the request, and knows which tenant's request made each."""

import threading
import time

from standins import ID, Runner


class CachingEngine(Runner):
    """Records, for each request, whose cached parts it used."""

    EVENTS = 4

    def __init__(self, *args, **more):
        self.cached = {}
        self.uses = []
        self.cache_lock = threading.Lock()
        super().__init__(*args, **more)

    def run(self, channel, method, target, headers, body):
        tenant = headers.get("x-turmerichollow-tenant-id", "none")
        salt = headers.get("x-turmerichollow-cache-salt", "")
        parts = [part.split(":")[0] for part in headers["x-turmerichollow-prefix-hash"].split(",")]
        makers = self.read(salt, parts, tenant)
        self.record(
            f"{self.name} runs {headers[ID]} of {tenant}: salt {salt or 'none'}, "
            f"version {headers.get('x-turmerichollow-expect-version', 'any')}, uses parts of {makers or 'nobody'}"
        )
        for maker in makers:
            self.uses.append((time.monotonic(), headers[ID], tenant, maker))
        time.sleep(0.02)
        answer = "".join(f"id: {n}\ndata: x\n\n" for n in range(1, self.EVENTS + 1))
        channel.sock.sendall(
            (
                f"HTTP/1.1 200 OK\r\n{ID}: {headers[ID]}\r\nX-Turmerichollow-Response-Signature: {self.name}\r\n"
                f"X-Turmerichollow-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                f"Content-Length: {len(answer)}\r\n\r\n{answer}"
            ).encode()
        )

    def read(self, salt, parts, tenant):
        """Reads a prompt; returns whose cached parts were used, from the start up to the first that isn't cached."""
        used = []
        with self.cache_lock:
            hit = True
            for at in range(len(parts)):
                key = (salt, tuple(parts[: at + 1]))
                hit = hit and key in self.cached
                if hit:
                    used.append(self.cached[key])
                else:
                    self.cached.setdefault(key, tenant)
        return sorted(set(used))
