"""An order that an upstream has run is answered 503 when its connection is lost shortly before its time limit."""

import asyncio
import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import fleet  # noqa: E402

TIME_LIMIT_MS = 1500
USUAL_WORK_S = 0.06
LONGEST_WORK_S = 1.4  # `max` of the work of siparis-islem in the site file
CLIENTS = 6
DARK_S = 4.5  # the largest `for_s` of `cold_return` in the site file
LOSING_AFTER_S = 2.3  # by then the silent upstreams get no requests any more
LOST_ORDER = 20  # one answer is lost; x is 0.05, so it may be one in twenty
NOT_RUN = (408, 421, 429, 503)


class Desk(fleet.Upstream):
    """Runs orders; from time to time one takes as long as the longest, and its answer is lost."""

    losing = False
    orders = 0

    async def run(self, line, headers, request_id, reader, writer):
        await fleet.read_body(reader, headers)
        self.note_run(request_id, line)
        if self.losing:
            self.orders += 1
        loses = self.losing and self.orders == LOST_ORDER
        await asyncio.sleep(LONGEST_WORK_S if loses else USUAL_WORK_S)
        if loses:
            self.record.line(f"UPSTREAM {self.id} has run {request_id}; its answer is lost by a reset")
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return False
        await self.answer(writer, request_id, self.body_of(request_id))
        return True


class Silent(fleet.Upstream):
    """An upstream that can fall silent: new connections hang, and open ones carry nothing."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.dark = False
        self.fillers = []

    async def start(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.host, fleet.SERVER_PORT))
        self.socket.listen(1)
        self.socket.setblocking(False)
        self.accepting = asyncio.create_task(self._accept())
        self.beats = asyncio.create_task(self._beat())
        self.fleet.tasks += [self.accepting, self.beats]

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.socket)
            reader, writer = await asyncio.open_connection(sock=connection)
            asyncio.create_task(self._serve(reader, writer))

    async def run(self, *arguments):
        if self.dark:
            await asyncio.sleep(60)
        return await super().run(*arguments)

    async def go_dark(self):
        self.dark = True
        self.accepting.cancel()
        self.beats.cancel()
        # Connections of its own fill the queue of the listening socket, so that later ones get no reply.
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, fleet.SERVER_PORT))
            self.fillers.append(filler)
        await asyncio.sleep(0.05)

    async def come_back(self):
        """Starts a new lifetime on an address of its own."""
        self.socket.close()
        for filler in self.fillers:
            filler.close()
        returned = fleet.Upstream(self.fleet, self.service, self.zone)
        await returned.start()


class Client:
    """Sends orders one after the other on kept connections; sends none twice."""

    def __init__(self, entry, record):
        self.entry = entry
        self.record = record
        self.answers = {}

    async def run(self, stop):
        reader = writer = None
        while not stop.is_set():
            headers = fleet.client_headers(TIME_LIMIT_MS)
            request_id = headers["X-Daisyhaven-Request-Id"]
            headers["Content-Length"] = 2
            started = time.monotonic()
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(self.entry.ip, fleet.FRONT_PORT)
                writer.write(fleet.head("POST /o/order HTTP/1.1", headers) + b"{}")
                answer = await asyncio.wait_for(fleet.read_head(reader), TIME_LIMIT_MS / 1000 + 0.5)
                if answer is None:
                    raise fleet.Broken("closed without an answer")
                await fleet.read_body(reader, answer[1])
                status = int(answer[0].split()[1])
                if answer[1].get("connection") == "close":
                    writer.transport.abort()
                    writer = None
            except (OSError, fleet.Broken, asyncio.TimeoutError) as error:
                status = repr(error)
                writer = None
            self.answers[request_id] = status
            self.record.line(f"CLIENT order {request_id}: {status} after {time.monotonic() - started:.3f} s")
            await asyncio.sleep(0.01)


async def case(record, trouble):
    deployment = fleet.Fleet(record, controls=3, entries=1)
    stop = asyncio.Event()
    try:
        await deployment.start(fleet.configuration(timeout_ms=TIME_LIMIT_MS))
        desk = Desk(deployment, "desk", fleet.ZONES[0])
        silent = [Silent(deployment, "desk", fleet.ZONES[2]) for _ in range(2)]
        photos = fleet.Upstream(deployment, "photos", fleet.ZONES[1])
        for upstream in [desk, photos] + silent:
            await upstream.start()
        await deployment.wait_until_served()
        clients = [Client(deployment.entries[0], record) for _ in range(CLIENTS)]
        tasks = [asyncio.create_task(client.run(stop)) for client in clients]
        await asyncio.sleep(4)  # longer than contactMs
        if trouble:
            for upstream in silent:
                await upstream.go_dark()
            record.line("UPSTREAMS of desk in one zone are silent")
            await asyncio.sleep(LOSING_AFTER_S)
            desk.losing = True
        await asyncio.sleep(DARK_S - LOSING_AFTER_S)
        desk.losing = False
        if trouble:
            for upstream in silent:
                await upstream.come_back()
            record.line("UPSTREAMS of that zone are back")
        await asyncio.sleep(1.6)
        stop.set()
        await asyncio.wait(tasks, timeout=4)
        answers = {key: value for client in clients for key, value in client.answers.items()}
        ran = {request_id for upstream in [desk] + silent for request_id in upstream.runs}
        broken = [request_id for request_id, status in answers.items()
                  if status in NOT_RUN and request_id in ran]
        for request_id in broken:
            record.line(f"REFUSED {request_id}: answered {answers[request_id]} and run")
        record.line(f"{len(answers)} orders, {len(broken)} answered as not run although an upstream ran them; "
                    f"lost answers: {int(desk.orders >= LOST_ORDER)} of {desk.orders}")
        return not broken
    finally:
        deployment.stop()


fleet.main(case, FOLDER)
