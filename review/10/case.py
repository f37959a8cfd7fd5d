"""CONFIG: the first configuration is acknowledged and lost if the operator's versions begin at 00000000."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
from stand import HOST, TROUBLE, Fleet, Upstream, call, configuration, run_case  # noqa: E402

VERSION = 0 if TROUBLE else 1
# The pages' configurationApplyMs is 2000 and contactMs 3000; the read is repeated for longer than both.
READ_FOR_S = 15


async def case(record):
    fleet = Fleet(record, controls=3, entries=2)
    try:
        await fleet.start()
        upstream = Upstream(fleet, 1, "desk")
        document = configuration(VERSION, [("lists", "/lists/", "idempotent", "desk", 1500, 2)], ["desk"])
        if await fleet.configure(document) != 200:
            return []
        await upstream.start()
        loop = asyncio.get_running_loop()
        end = loop.time() + READ_FOR_S
        read = None
        while read is None and loop.time() < end:
            status, body = await fleet.order("GET", "/configuration", tries=3)
            record(f"operator: GET /configuration: {status}")
            read = json.loads(body) if status == 200 else None
        answers = []
        for entry in fleet.entries:
            address = (entry.ip, fleet.ready_port)
            status, _, _ = await call(address, "GET", "/readiness", timeout=2)
            record(f"platform: GET /readiness of {entry.name}: {status}")
            address = (entry.ip, fleet.front_port)
            status, _, body = await call(address, "GET", "/lists/1", b"", 5, host=HOST, headers={
                "X-Daisyhaven-Request-Id": f"a{entry.number:015x}", "X-Daisyhaven-Request-Deadline-Ms": "3000"})
            record(f"client: GET /lists/1 at {entry.name}: {status} {body!r}")
            answers.append(status)
    finally:
        fleet.stop()
    if read == document:
        return []
    got = "doesn't come" if read is None else "isn't what was sent"
    return [f"CONFIG: version {VERSION:08x} was acknowledged with 200; read back for {READ_FOR_S} s, the configuration "
            f"{got}; clients are answered {answers}"]


run_case(FOLDER, case)
