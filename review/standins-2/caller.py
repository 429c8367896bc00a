"""Stand-in of a consumer that keeps its channel for many requests."""
import asyncio
import itertools
import time

import http11

IDS = itertools.count(1)


class Caller:
    """A consumer with one channel, which it opens again when it has been closed."""

    def __init__(self, record, name, address, key="k1"):
        self.record, self.name, self.address, self.key = record, name, address, key
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.address), 1)
        self.requests_on_channel = 0

    def drop(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def request(self, method, path, body=b"", deadline_ms=5000, chunk=None, headers=()):
        """Sends a request and returns how it ended: what was got of the answer, and whether that is whole."""
        if self.writer is None:
            await self.connect()
        identity = f"{self.name}-{next(IDS)}"
        kept = self.requests_on_channel > 0
        self.requests_on_channel += 1
        lines = {"Host": "app.example", "X-Turmerichollow-Request-Id": identity,
                 "X-Turmerichollow-Deadline-Ms": deadline_ms, "X-Turmerichollow-Credential": self.key, **dict(headers)}
        if chunk:
            lines["Transfer-Encoding"] = "chunked"
            pieces = [body[i:i + chunk] for i in range(0, len(body), chunk)]
            content = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"
        else:
            content = body
            if body or method != "GET":
                lines["Content-Length"] = len(body)
        began_at = time.monotonic()
        result = {"id": identity, "kept": kept, "status": None, "body": None}
        try:
            self.writer.write(http11.message(f"{method} {path} HTTP/1.1", lines, content))
            await asyncio.wait_for(self.read(result), deadline_ms / 1000 + 1)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            result["failure"] = type(e).__name__
        took_ms = (time.monotonic() - began_at) * 1000
        self.record.note(self.name, f"{method} {path} {identity}: status {result['status']}, "
                                    f"{'whole' if result['body'] is not None else 'no whole body'}, {took_ms:.0f} ms"
                                    f"{', ' + result['failure'] if 'failure' in result else ''}")
        if result["body"] is None or result.get("closes"):
            self.drop()
        return result

    async def read(self, result):
        head = await http11.read_head(self.reader)
        if head is None:
            result["failure"] = "channel closed without an answer"
            return
        result["status"] = head.status
        result["signed"] = head.get("x-turmerichollow-response-signature")
        result["closes"] = head.get("connection", "").lower() == "close"
        result["body"] = await http11.read_body(self.reader, head)
