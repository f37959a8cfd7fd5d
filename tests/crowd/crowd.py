#!/usr/bin/env python3
"""Sends crowds of clients that misbehave to real processes with lowered limits of memory and descriptors.

    crowd.py [--path route,upload,noroute,ready,control] [--kind KIND,..] [--net 61] [--folder DIR]

Each case starts one control VM, one entry VM and one backend server, opens a crowd on one path and checks that the
process that it meets lives, that its peak memory and its sockets stay within the limits of its settings, and that one
ordinary request is answered while the crowd is still there. No check depends on the speed of the machine.
"""

import argparse
import asyncio
import os
import shutil
import socket
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

import http1  # noqa: E402
from callers import HOST, document  # noqa: E402
from fleet import CALLER_PORT, CONTROL_PORT, READY_PORT, Fleet, Process, wait_for  # noqa: E402
from oracle import Oracle  # noqa: E402
from servers import Server  # noqa: E402

MEMORY_MB = 64
DESCRIPTORS = 700
RESERVED_DESCRIPTORS = 200
ROUTE_TIMEOUT_MS = 20000
START_S = 20
# For how long the crowd sends, and stays after that while the ordinary request is tried.
SEND_S = 6
ANSWER_S = 30
BODY = 300_000
PIECE = 3000
HEAD_BYTES = 16_000
LARGE_ANSWER = 900_000
OVER_LIMIT = 80_000_000  # more than any path takes
SENT_AHEAD = 20_000

# Path -> (port, method with body, target with body, method without, target without).
PATHS = {
    "route": (CALLER_PORT, "POST", "/orders/9", "GET", "/status/large"),
    "upload": (CALLER_PORT, "POST", "/photos/3", "GET", "/status/large"),
    "noroute": (CALLER_PORT, "POST", "/nowhere/1", "GET", "/nowhere/1"),
    "ready": (READY_PORT, "POST", "/readiness", "GET", "/readiness"),
    "control": (CONTROL_PORT, "PUT", "/configuration", "GET", "/configuration"),
}


def head(method, target, *fields):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


async def one_piece(client):
    await client.send(client.head_with_body(BODY) + b"x" * (BODY - 1))


async def small_pieces(client):
    await client.send(client.head_with_body(BODY))
    for _ in range(BODY // PIECE - 1):
        await client.send(b"x" * PIECE)
    await client.send(b"x" * (PIECE - 1))


async def chunks(client):
    await client.send(client.head_with_body(None))
    for _ in range(BODY // PIECE):
        await client.send(chunk(PIECE))


async def over_limit(client):
    await client.send(client.head_with_body(OVER_LIMIT))
    for _ in range(OVER_LIMIT // 100_000):
        await client.send(b"x" * 100_000)


async def over_limit_chunks(client):
    await client.send(client.head_with_body(None))
    for _ in range(OVER_LIMIT // 100_000):
        await client.send(chunk(100_000))


async def many_fields(client):
    fields = ["a:b"] * (HEAD_BYTES // 5)
    await client.send(client.head_with_body(10, *fields) + b"x" * 9)


async def sent_ahead(client):
    request = client.head_without_body()
    for _ in range(SENT_AHEAD // 100):
        await client.send(request * 100)


async def slow_sender(client):
    await client.send(client.head_with_body(BODY) + b"x" * (BODY - 1000))
    while True:
        await client.send(b"x")
        await asyncio.sleep(0.3)


async def slow_reader(client):
    await client.send(client.head_without_body() * (1 if client.path in ("route", "upload") else 200))
    while True:
        await client.read(1)
        await asyncio.sleep(0.3)


async def half_head(client):
    await client.send(client.head_without_body()[:-3])


async def half_head_long(client):
    await client.send(client.head_with_body(10, *["a:b"] * (HEAD_BYTES // 5))[:-3])


async def silent(_client):
    pass


# Kind -> (what each client does, number of clients).
KINDS = {
    "one_piece": (one_piece, 400),
    "small_pieces": (small_pieces, 400),
    "chunks": (chunks, 400),
    "over_limit": (over_limit, 60),
    "over_limit_chunks": (over_limit_chunks, 60),
    "many_fields": (many_fields, 400),
    "sent_ahead": (sent_ahead, 100),
    "slow_sender": (slow_sender, 400),
    "slow_reader": (slow_reader, 300),
    "half_head": (half_head, 700),
    "half_head_long": (half_head_long, 400),
    "silent": (silent, 700),
}


class Client:
    """One connection of the crowd."""

    def __init__(self, ip, path, number):
        self.path = path
        self.number = number
        port, self.method, self.target, self.bare_method, self.bare_target = PATHS[path]
        self.address = (ip, port)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)

    def head_with_body(self, length, *fields):
        framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
        return head(self.method, self.target, f"X-Daisyhaven-Request-Id: c-{self.number}", framing, *fields)

    def head_without_body(self):
        return head(self.bare_method, self.bare_target, f"X-Daisyhaven-Request-Id: c-{self.number}")

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def read(self, count):
        await asyncio.get_running_loop().sock_recv(self.socket, count)

    async def act(self, behaviour):
        """Behaves until it is cancelled or its connection ends, which the VM may bring about."""
        try:
            await asyncio.get_running_loop().sock_connect(self.socket, self.address)
            await behaviour(self)
        except OSError:
            pass

    def close(self):
        self.socket.close()


class LimitedProcess(Process):
    def _settings(self):
        settings = super()._settings().replace("machines = 2", "machines = 0")
        for number in (2, 3):
            settings = settings.replace(f',"{self.fleet.net}.0.{number}:{CONTROL_PORT}"', "")
        return settings + f"[self.limits]\nmemoryMb = {MEMORY_MB}\nfileDescriptors = {DESCRIPTORS}\n"

    def peak_kb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))

    def sockets(self):
        folder = f"/proc/{self.process.pid}/fd"
        return sum(1 for entry in os.listdir(folder) if os.readlink(f"{folder}/{entry}").startswith("socket"))


class LargeServer(Server):
    """Answers every request at once, those of /status/large with a large body."""

    async def _answer(self, first_line, headers, _body):
        target = first_line.split()[1]
        echoed = {"X-Daisyhaven-Request-Id": headers.get("x-daisyhaven-request-id", "")}
        if target == "/health":
            echoed = {"X-Daisyhaven-Instance-Id": self.id}
        return http1.message("HTTP/1.1 200 OK", echoed, b"y" * (LARGE_ANSWER if target == "/status/large" else 2))


async def is_answered(ip, path):
    """Sends one ordinary request, as often as a caller would, and returns whether it is answered with 200."""
    port, target = {"ready": (READY_PORT, "/readiness"), "control": (CONTROL_PORT, "/configuration")}.get(
        path, (CALLER_PORT, "/status/7"))
    end = asyncio.get_running_loop().time() + ANSWER_S
    while asyncio.get_running_loop().time() < end:
        try:
            answer = await http1.call(f"{ip}:{port}", "GET", target, timeout=5, host_name=HOST)
        except (OSError, http1.Closed, asyncio.TimeoutError):
            answer = (0,)
        if answer[0] == 200:
            return True
        await asyncio.sleep(0.5)
    return False


async def watch(process, peak):
    while process.running:
        try:
            peak["sockets"] = max(peak["sockets"], process.sockets())
            peak["kb"] = max(peak["kb"], process.peak_kb())
        except OSError:
            pass
        await asyncio.sleep(0.05)


async def play(kind, path, options, folder):
    options.controls = options.entries = 1
    fleet = Fleet(folder, options.binary, Oracle({}), 1, options)
    fleet.controls = [LimitedProcess(fleet, "control", 0)]
    fleet.entries = [LimitedProcess(fleet, "entry", 0)]
    server = LargeServer(fleet, 1, "desk", "a", 1)
    process = (fleet.controls if path == "control" else fleet.entries)[0]
    behaviour, count = KINDS[kind]
    peak = {"sockets": 0, "kb": 0}
    problems, clients, tasks = [], [], []
    try:
        fleet.start()
        await fleet.configure(1, document({}, ROUTE_TIMEOUT_MS))
        await server.start()
        if not await is_answered(process.ip, path):
            return ["the fleet does not serve"], peak
        tasks.append(asyncio.create_task(watch(process, peak)))
        clients += [Client(process.ip, path, number) for number in range(count)]
        acting = [asyncio.create_task(client.act(behaviour)) for client in clients]
        tasks += acting
        await wait_for(lambda: all(task.done() for task in acting), SEND_S)
        await asyncio.sleep(1)
        if not await is_answered(process.ip, path):
            problems.append("an ordinary request was not answered")
    finally:
        for task in tasks:
            task.cancel()
        if not process.running:
            problems.append("the process ended")
        fleet.stop()
        if server.announcing:
            server.crash()
            server.relay.stop()
        for client in clients:
            client.close()
    if peak["kb"] > MEMORY_MB * 1024:
        problems.append("memory above its limit")
    if peak["sockets"] > DESCRIPTORS - RESERVED_DESCRIPTORS:
        problems.append("sockets above their limit")
    return problems, peak


def play_case(kind, path, options):
    folder = os.path.join(options.folder, f"{path}-{kind}")
    shutil.rmtree(folder, ignore_errors=True)
    problems, peak = asyncio.run(play(kind, path, options, folder))
    verdict = "FAILED: " + "; ".join(problems) if problems else "passed"
    print(f"{path} {kind}: peak {peak['kb'] / 1024:.1f} MB, {peak['sockets']} sockets: {verdict}", flush=True)
    return not problems


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--path", default=",".join(PATHS))
    parser.add_argument("--kind", default=",".join(KINDS))
    parser.add_argument("--net", type=int, default=61, help="addresses 127.NET.0.0 to 127.NET.3.255 are used")
    parser.add_argument("--folder", default=os.path.join(tempfile.gettempdir(), "daisyhaven-crowd"))
    parser.add_argument("--binary", default=os.path.join(
        os.environ.get("DAISYHAVEN_BUILD", os.path.join(ROOT, "build")), "bin", "daisyhaven"))
    options = parser.parse_args()
    results = [play_case(kind, path, options)
               for path in options.path.split(",") for kind in options.kind.split(",")]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
