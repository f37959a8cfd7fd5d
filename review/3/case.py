"""A ping with bytes that cannot be read ends every control process that receives it."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import fleet  # noqa: E402

PINGS = 4
HEARTBEAT_S = 1.5
ENDS_IN_A_DAY = 3
# The body of a ping of another writer: JSON in which a string is not UTF-8.
UNREADABLE = b'{"service":"desk","address":"\xff\xfe","zone":"anadolu-a","version":"v1","slots":4,' \
             b'"state":"ready","coldRemainingMs":0,"sequence":%d,"born":1700000000000}'
# The same in ASCII, with a field of another type.
READABLE = b'{"service":"desk","address":7,"zone":"anadolu-a","version":"v1","slots":4,' \
           b'"state":"ready","coldRemainingMs":0,"sequence":%d,"born":1700000000000}'


async def case(record, trouble):
    deployment = fleet.Fleet(record, controls=3, entries=2)
    try:
        await deployment.start(fleet.configuration())
        for service, zone in (("desk", 0), ("desk", 1), ("photos", 2)):
            await fleet.Upstream(deployment, service, fleet.ZONES[zone]).start()
        await deployment.wait_until_served()
        await asyncio.sleep(4)  # longer than contactMs
        for number in range(PINGS):
            started = time.monotonic()
            body = (UNREADABLE if trouble else READABLE) % (number + 1)
            # Like every upstream, the writer calls the next node when one gives no 2xx response.
            status, _ = await deployment.order("PUT", "/instances/i-other", body)
            record.line(f"WRITER ping {number + 1} of i-other: status {status}")
            await asyncio.sleep(max(HEARTBEAT_S - (time.monotonic() - started), 0))
        await asyncio.sleep(1)
        ended_often = 0
        for process in deployment.controls:
            record.line(f"PLATFORM {process.name}: ended by itself {len(process.ends)} times")
            ended_often += len(process.ends) >= ENDS_IN_A_DAY
        return ended_often * 2 < len(deployment.controls)
    finally:
        deployment.stop()


fleet.main(case, FOLDER)
