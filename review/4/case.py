"""A ping whose id cannot be read stops the fleet from learning that an upstream drains."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import fleet  # noqa: E402

DRAIN_TIMEOUT_S = 2.0
# Requests count as late only well after drainTimeoutMs, for the time that they were on the way.
SLACK_S = 0.3
OBSERVED_S = 6.0


async def client(deployment, entry, record, stop):
    """Sends lookups one after the other on new connections until `stop` is set."""
    while not stop.is_set():
        headers = fleet.client_headers(2000)
        request_id = headers["X-Daisyhaven-Request-Id"]
        try:
            status, _, _ = await asyncio.wait_for(
                fleet.call((entry.ip, fleet.FRONT_PORT), "GET", "/g/item", b"", headers), 3)
        except (OSError, fleet.Broken, asyncio.TimeoutError) as error:
            status = repr(error)
        record.line(f"CLIENT {request_id} at {entry.name}: {status}")
        counts = deployment.answers.setdefault(entry.name, {})
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.05)


class Leaving(fleet.Upstream):
    """Keeps serving for many seconds after its draining was confirmed, as the pages allow it."""

    confirmed_at = None
    late = 0

    async def run(self, line, headers, request_id, reader, writer):
        after = 0 if self.confirmed_at is None else time.monotonic() - self.confirmed_at
        if after > DRAIN_TIMEOUT_S + SLACK_S:
            self.late += 1
            self.record.line(f"LATE {request_id} reaches {self.id} {after:.2f} s after the confirmation")
        return await super().run(line, headers, request_id, reader, writer)


async def case(record, trouble):
    deployment = fleet.Fleet(record, controls=3, entries=2)
    deployment.answers = {}
    stop = asyncio.Event()
    try:
        await deployment.start(fleet.configuration())
        leaving = Leaving(deployment, "desk", fleet.ZONES[0])
        others = [fleet.Upstream(deployment, "desk", fleet.ZONES[1]),
                  fleet.Upstream(deployment, "desk", fleet.ZONES[2]),
                  fleet.Upstream(deployment, "photos", fleet.ZONES[2])]
        for upstream in [leaving] + others:
            await upstream.start()
        await deployment.wait_until_served()
        clients = [asyncio.create_task(client(deployment, entry, record, stop))
                   for entry in deployment.entries for _ in range(3)]
        await asyncio.sleep(4)  # longer than contactMs
        if trouble:
            body = (b'{"service":"desk","address":"127.0.0.1:9","zone":"anadolu-a","version":"v1","slots":4,'
                    b'"state":"ready","coldRemainingMs":0,"sequence":1,"born":1700000000000}')
            # The path is sent as Latin-1, so this id holds the byte 0xff, which is never part of UTF-8.
            status, _ = await deployment.order("PUT", "/instances/i-\xff", body)
            record.line(f"WRITER one ping of i-\\xff: status {status}")
        await asyncio.sleep(1.5)
        leaving.state = "draining"
        for _ in range(10):
            if await leaving.tell():
                leaving.confirmed_at = time.monotonic()
                break
        if leaving.confirmed_at is None:
            raise fleet.CannotRun("the draining was not confirmed")
        record.line(f"UPSTREAM {leaving.id} is draining, confirmed")
        # A machine is added. It is not part of the check; the record shows what its clients get.
        added = fleet.Process(deployment, "entry", len(deployment.entries))
        deployment.entries.append(added)
        added.start()
        clients.append(asyncio.create_task(client(deployment, added, record, stop)))
        await asyncio.sleep(OBSERVED_S)
        stop.set()
        await asyncio.gather(*clients)
        record.line(f"{leaving.late} requests reached {leaving.id} more than {DRAIN_TIMEOUT_S} s after the "
                    f"confirmation; own ends {[process.ends for process in deployment.processes]}")
        record.line(f"answers by machine: {deployment.answers}")
        return leaving.late == 0
    finally:
        deployment.stop()


fleet.main(case, FOLDER)
