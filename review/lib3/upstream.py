"""A stand-in upstream that follows the users' pages: registration, health, rejection, signatures."""

import asyncio
import hashlib
import json
import time

import harness

HEARTBEAT_S = 1.5


class Request:
    """A request that has reached an upstream."""

    def __init__(self, upstream, line, headers, body):
        self.upstream = upstream
        self.method, self.target, _ = line.split(" ")
        self.headers = headers
        self.body = body
        self.id = headers.get("x-daisyhaven-request-id", "")


class Upstream:
    """`work(request)` runs a request and returns its body, or an iterator of pieces with pauses in seconds."""

    def __init__(self, site, number, service, work, slots=8):
        self.site = site
        self.id = f"i-{number:04x}"
        self.address = f"{site.net}.2.{number}:8000"
        self.zone = "abc"[number % 3]
        self.service = service
        self.work = work
        self.slots = slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        # Requests that began to run, in order: (seconds on the monotonic clock, Request).
        self.runs = []
        self.listener = None
        self.heartbeat = None

    async def start(self):
        host, port = self.address.split(":")
        self.listener = await asyncio.start_server(self._serve, host, int(port))
        if await self.tell() != 200:
            raise harness.CannotRun(f"{self.id} was not acknowledged")
        self.heartbeat = asyncio.create_task(self._beat())

    def stop(self):
        if self.heartbeat:
            self.heartbeat.cancel()
        if self.listener:
            self.listener.close()

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.tell()

    async def tell(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence,
                "born": self.born}
        status, _ = await self.site.order("PUT", f"/instances/{self.id}", json.dumps(body).encode(), limit_s=5,
                                          quiet=True)
        return status

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers, body = await harness.read_message(reader)
                await self._answer(writer, Request(self, line, headers, body))
        except (EOFError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, request):
        common = {"X-Daisyhaven-Request-Id": request.id, "Keep-Alive": "timeout=10",
                  "X-Daisyhaven-Upstream-Load": f"{self.running},0,{self.slots}"}
        if request.target == "/health":
            writer.write(harness.message("HTTP/1.1 200 OK", {**common, "X-Daisyhaven-Instance-Id": self.id}))
            return
        if request.headers.get("x-daisyhaven-expected-instance", self.id) != self.id:
            writer.write(harness.message("HTTP/1.1 421 Misdirected Request",
                                         {**common, "X-Daisyhaven-Instance-Id": self.id}))
            return
        if self.running >= 2 * self.slots:
            writer.write(harness.message("HTTP/1.1 503 Service Unavailable",
                                         {**common, "X-Daisyhaven-Not-Executed": "1"}))
            return
        self.runs.append((time.monotonic(), request))
        self.running += 1
        try:
            length, pieces = self.work(request)
            common["X-Daisyhaven-Response-Signature"] = f"{self.id}.{request.id}"
            head = "".join(f"{name}: {value}\r\n" for name, value in common.items())
            started = False
            for piece in pieces:
                if isinstance(piece, float):
                    await asyncio.sleep(piece)
                    continue
                if not started:
                    writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: {length}\r\n\r\n".encode())
                    started = True
                writer.write(piece)
                await writer.drain()
        finally:
            self.running -= 1


def digest(request_id):
    return hashlib.sha256(request_id.encode()).hexdigest().encode()


def after(seconds, request):
    """Work of so many seconds with a short body."""
    body = digest(request.id)
    return len(body), [seconds, body]
