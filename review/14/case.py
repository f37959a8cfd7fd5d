"""An entry machine gets SIGTERM while requests wait for a slot of a busy service; the last ones get no answer."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib3"))
import harness  # noqa: E402
import upstream  # noqa: E402

# Two upstreams with a slot each take 7 s for these orders, of 15 s that the clients wait.
CLIENTS = 12
WORK_S = 1.15
SIGTERM_AFTER_S = 0.3
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
TIME_LIMIT_MS = 15000


class Client:
    def __init__(self, site, record, number):
        self.site = site
        self.record = record
        self.number = number
        self.sent_at = None
        self.ended_at = None
        self.answer = "connection closed without an answer"

    async def run(self):
        reader, writer = await asyncio.open_connection(self.site.entries[0].ip, harness.FRONTEND_PORT)
        try:
            writer.write(harness.message("POST /order/1 HTTP/1.1", {
                "Host": "shop.example", "X-Daisyhaven-Request-Id": f"order-{self.number}",
                "X-Daisyhaven-Request-Deadline-Ms": str(TIME_LIMIT_MS), "Authorization": "Bearer key-t"}, b"order"))
            self.sent_at = time.monotonic()
            line, _, _ = await asyncio.wait_for(harness.read_message(reader), TIME_LIMIT_MS / 1000)
            self.answer = line.split()[1]
        except asyncio.TimeoutError:
            self.answer = "none within the time limit"
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended_at = time.monotonic()
            writer.close()


async def play(record, trouble):
    site = harness.Site(record, controls=3, entries=2, tolerated=1)
    upstreams = [upstream.Upstream(site, number, "desk", lambda request: upstream.after(WORK_S, request), slots=1)
                 for number in range(1, 3)]
    try:
        site.start_all()
        status, _ = await site.order("PUT", "/configuration", harness.configuration(
            1, [("order", "shop.example", "/order/", "non_idempotent", TIME_LIMIT_MS, 2, "desk")],
            ["desk"], [("t", ["key-t"])]))
        if status != 200:
            raise harness.CannotRun("the configuration was not acknowledged")
        for server in upstreams:
            await server.start()
        await site.until_ready(site.entries[0])
        await asyncio.sleep(4)
        clients = [Client(site, record, number) for number in range(CLIENTS)]
        running = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(SIGTERM_AFTER_S)
        stopped_at = time.monotonic()
        if trouble:
            site.entries[0].signal(signal.SIGTERM)
            await asyncio.sleep(GRACE_S)
            site.entries[0].signal(signal.SIGKILL)
        await asyncio.gather(*running)
        lost = 0
        for client in clients:
            runs = sum(1 for server in upstreams for _, request in server.runs
                       if request.id == f"order-{client.number}")
            record(f"order-{client.number}: sent {client.sent_at - stopped_at:.2f} s and ended "
                   f"{client.ended_at - stopped_at:.2f} s after the SIGTERM, run by {runs} upstreams, "
                   f"answer: {client.answer}")
            # What an upstream was still working on is excused: it was sent before the SIGTERM.
            cut = client.answer.startswith("connection closed")
            if cut and not runs and client.ended_at - client.sent_at > LOSS_SLACK_S:
                lost += 1
        record(f"{lost} orders were read, were not passed on to an upstream and got no answer")
        return lost == 0
    finally:
        for server in upstreams:
            server.stop()
        site.close()


harness.run(__file__, play)
