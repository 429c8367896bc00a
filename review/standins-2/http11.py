"""A minimal HTTP/1.1 server and client for the stand-ins, on asyncio streams."""
import asyncio


class Head:
    """First line and headers of a message, names in lower case."""

    def __init__(self, text):
        lines = text.split("\r\n")
        self.first = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def path(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Returns the next head, none if the connection ends before one begins."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(text.decode("latin-1").rstrip("\r\n"))


async def read_body(reader, head):
    """Returns a body that has a length or comes in chunks."""
    if "chunked" in head.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(head.get("content-length", "0")))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def close(writer, reset=False):
    if reset:
        writer.transport.abort()
    else:
        writer.close()
