"""The body of an upload that is refused is parsed again, as a request of its own."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import fleet  # noqa: E402

# The largest `for_s` of `cold_return` in the site file.
DOWN_S = 4.5
# About 18 uploads a second, as on the sheet.
CLIENTS = 8
UPLOADS_EACH = 9
PAUSE_S = 0.05
QUIET_S = 0.3
EMBEDDED_IDS = "embedded"


class Photos(fleet.Upstream):
    """An upstream that can go down with its zone and come back cold, as a new lifetime."""

    async def go_down(self):
        self.beats.cancel()
        self.listener.close()
        for connection in list(self.connections):
            connection.cancel()


def photo_set(number):
    """Returns the two pieces in which a client sends the body of an upload.

    The body is a support ticket of a workshop: a recorded HTTP request in plain text. A body may hold any bytes.
    """
    recorded = fleet.head("GET /g/recorded HTTP/1.1",
                          fleet.client_headers(2000, f"{EMBEDDED_IDS}-{number}"))
    return b"ticket: the shop's page is empty; this is what it asked for\n", recorded


async def read_answers(reader):
    """Returns the status lines of all answers on the connection until it is quiet for a while."""
    data = b""
    try:
        while piece := await asyncio.wait_for(reader.read(65536), QUIET_S):
            data += piece
    except (asyncio.TimeoutError, OSError):
        pass
    return [line.decode("latin-1").strip() for line in data.split(b"\n") if line.startswith(b"HTTP/1.1 ")]


async def upload(deployment, entry, record, number):
    """Sends one upload; returns the number of answers on its connection."""
    parts = photo_set(number)
    headers = fleet.client_headers(1500)
    request_id = headers["X-Daisyhaven-Request-Id"]
    headers["Content-Length"] = sum(len(part) for part in parts)
    try:
        reader, writer = await asyncio.open_connection(entry.ip, fleet.FRONT_PORT)
        writer.write(fleet.head(f"POST /u/{number} HTTP/1.1", headers))
        for part in parts:
            await asyncio.sleep(0.05)
            writer.write(part)
        answers = await read_answers(reader)
        writer.transport.abort()
    except OSError as error:
        answers = [repr(error)]
    record.line(f"CLIENT upload {request_id} at {entry.name}: {answers}")
    return len(answers)


async def case(record, trouble):
    deployment = fleet.Fleet(record, controls=3, entries=2)
    try:
        await deployment.start(fleet.configuration())
        desk = [fleet.Upstream(deployment, "desk", zone) for zone in fleet.ZONES]
        photos = [Photos(deployment, "photos", fleet.ZONES[2]) for _ in range(3)]
        for upstream in desk + photos:
            await upstream.start()
        await deployment.wait_until_served()
        await asyncio.sleep(4)  # longer than contactMs
        if trouble:
            for upstream in photos:
                await upstream.go_down()
            record.line("UPSTREAMS of photos, all in one zone, are down")
        unasked_answers = 0

        async def client(index):
            nonlocal unasked_answers
            await asyncio.sleep(index * PAUSE_S)
            for number in range(UPLOADS_EACH):
                entry = deployment.entries[index % len(deployment.entries)]
                answers = await upload(deployment, entry, record, f"{index}-{number}")
                unasked_answers += max(answers - 1, 0)

        clients = [asyncio.create_task(client(index)) for index in range(CLIENTS)]
        if trouble:
            await asyncio.sleep(DOWN_S)
            for upstream in photos:
                returned = Photos(deployment, "photos", fleet.ZONES[2])
                await returned.start()
            record.line("UPSTREAMS of photos are back")
        await asyncio.gather(*clients)
        await asyncio.sleep(0.5)
        smuggled = [request_id for upstream in desk for request_id in upstream.runs
                    if request_id.startswith(EMBEDDED_IDS)]
        record.line(f"run by upstreams, sent by no client: {smuggled}")
        record.line(f"answers on connections with no request waiting: {unasked_answers}")
        return not smuggled
    finally:
        deployment.stop()


fleet.main(case, FOLDER)
