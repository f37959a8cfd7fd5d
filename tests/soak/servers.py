"""Stand-in backend servers that announce themselves to the control VMs and inject failures."""

import asyncio
import hashlib
import json
import random
import time

import http1
from relay import Relay

HEARTBEAT_S = 1.0
SLOTS = 4
FAILURES = ("errors", "hang", "reset", "shed", "quiet")


class Server:
    """A backend server behind a relay."""

    def __init__(self, fleet, number, service, zone, seed):
        self.fleet = fleet
        self.number = number
        self.id = f"i-{number}"
        self.service = service
        self.zone = zone
        self.random = random.Random(seed)
        self.address = f"{fleet.net}.2.{number}:8000"
        self.relay = Relay(f"{fleet.net}.3.{number}:8000", self.address, seed)
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.failure = None
        # Requests per second that the server names in its responses, if any.
        self.limit = None
        self.running = 0
        self.listener = None
        self.connections = set()
        self.announcing = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.failure = None
        self.limit = None
        host, port = self.address.split(":")
        self.listener = await asyncio.start_server(self._serve, host, int(port))
        if self.relay.server is None:
            await self.relay.start()
        self.announcing = asyncio.create_task(self._announce())

    def crash(self):
        """Stops without deregistering; requests in flight are lost."""
        self.announcing.cancel()
        self.listener.close()
        for connection in list(self.connections):
            connection.cancel()

    async def leave(self):
        """Announces draining, keeps serving for 2.5 s, deregisters and stops."""
        self.state = "draining"
        if await self._tell("PUT"):
            self.fleet.oracle.leaving[self.id] = time.monotonic()
        await asyncio.sleep(2.5)
        await self._tell("DELETE")
        self.crash()

    async def leave_unannounced(self):
        """Says that it leaves in its responses only, keeps serving for 5 s and stops."""
        self.state = "leaving"
        await asyncio.sleep(5)
        self.crash()

    def name_limit(self, per_second):
        """Names a limit in each response from now on; None: no limit."""
        self.limit = per_second
        self.fleet.oracle.statements.named_limit(self, per_second)

    async def _announce(self):
        while True:
            await self._tell("PUT")
            await asyncio.sleep(HEARTBEAT_S)

    async def _tell(self, method):
        self.sequence += 1
        body = b""
        if method == "PUT":
            body = json.dumps({
                "service": self.service, "address": self.relay.address, "zone": self.zone,
                "version": "v1", "slots": SLOTS,
                "state": "draining" if self.state == "draining" else "ready", "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}).encode()
        return await self.fleet.order(method, f"/instances/{self.id}", body, attempts=4) == 200

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.connections.add(task)
        try:
            while (request := await http1.read_message(reader)) is not None:
                answer = await self._answer(*request)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (http1.Closed, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(task)
            writer.transport.abort()

    async def _answer(self, line, headers, body):
        _, path, _ = line.split(" ", 2)
        request_id = headers.get("x-daisyhaven-request-id", "")
        common = {"X-Daisyhaven-Request-Id": request_id,
                  "X-Daisyhaven-Upstream-Load": f"{self.running},0,{SLOTS}", "Keep-Alive": "timeout=9"}
        expected = headers.get("x-daisyhaven-expected-instance")
        full = self.running >= SLOTS + 4 or self.failure in ("shed", "quiet") and self.random.random() < 0.5
        if expected != self.id:
            return http1.message("HTTP/1.1 421 Misdirected", common)
        if self.state in ("draining", "leaving"):
            common["Server-Leaving"] = "1"
        if self.limit is not None:
            common["Server-Limit"] = f"{self.limit:.1f}"
        runs = not full
        self.fleet.oracle.arrived(self, request_id, path, headers.get("x-daisyhaven-tenant-id", ""),
                                  headers, body, runs)
        if full and self.failure == "quiet":
            return self._ask_for_quiet(request_id, common)
        if full:
            return http1.message("HTTP/1.1 503 Full", {**common, "X-Daisyhaven-Not-Executed": "full"})
        return await self._run(request_id, common)

    def _ask_for_quiet(self, request_id, common):
        seconds = round(self.random.uniform(0.8, 4), 1)
        request = self.fleet.oracle.requests.get(request_id)
        if request is not None:
            self.fleet.oracle.statements.asked_for_quiet(self, request.entry, seconds)
        return http1.message("HTTP/1.1 503 Busy", {**common, "X-Daisyhaven-Not-Executed": "busy",
                                                   "Retry-After": str(seconds)})

    async def _run(self, request_id, common):
        self.running += 1
        try:
            if self.failure not in (None, "quiet") and self.random.random() < 0.7:
                if self.failure == "errors":
                    return http1.message("HTTP/1.1 500 Error", common)
                if self.failure == "hang":
                    await asyncio.sleep(5)
                return None
            await asyncio.sleep(self.random.lognormvariate(-3.3, 0.5))
            signature = f"{self.id}.{self.born}.{request_id}"
            body = answer_body(signature)
            self.fleet.answers[request_id] = signature
            return http1.message("HTTP/1.1 200 OK",
                                 {**common, "X-Daisyhaven-Response-Signature": signature}, body)
        finally:
            self.running -= 1


def answer_body(signature):
    return hashlib.sha256(signature.encode()).hexdigest().encode() * 8
