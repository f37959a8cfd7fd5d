"""GONE: uploads whose clients have left wait on and reach an upstream seconds later."""

import asyncio
import os
import socket
import struct
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
from stand import HOST, TROUBLE, CannotRun, Fleet, Upstream, configuration, read_head, run_case  # noqa: E402

# A little over what the machine reads before it waits for a slot, so that the rest and the client's close fit into the
# receive buffer of its socket.
BYTES = 541_000
SLOTS, WORK_S = 4, 0.5
# Three in ten of the clients leave: the largest share of give_up in the site files.
UPLOADS = 40
LEAVING = [number for number in range(UPLOADS) if number % 10 in (3, 6, 9)]
LEAVE_AFTER_S = 0.5
LIMIT_MS = 8000
# The rule lets "a few" pass.
FEW = 3


def closes_arrived(address):
    """Returns how many connections at the address are in the state CLOSE_WAIT: the client's close has reached them."""
    ip = "%08X" % struct.unpack("<I", socket.inet_aton(address[0]))
    local = f"{ip}:{address[1]:04X}"
    with open("/proc/net/tcp", encoding="ascii") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    return sum(1 for row in rows if row[1] == local and row[3] == "08")


async def upload(fleet, record, number, leaves, left_at):
    request = f"a{number:015x}"
    reader, writer = await fleet.client()
    try:
        record(f"client: sends {request}, {BYTES} bytes")
        writer.write((f"POST /photos/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Daisyhaven-Request-Id: {request}\r\n"
                      f"X-Daisyhaven-Request-Deadline-Ms: {LIMIT_MS}\r\nContent-Length: {BYTES}\r\n\r\n").encode())
        writer.write(b"x" * BYTES)
        sent = asyncio.create_task(writer.drain())
        limit = LEAVE_AFTER_S if leaves else LIMIT_MS / 1000 + 1
        try:
            line, _, _ = await asyncio.wait_for(read_head(reader), limit)
            record(f"client: {request} is answered {line.split()[1]}")
        except asyncio.TimeoutError:
            pass
        await asyncio.gather(sent, return_exceptions=True)
    except (EOFError, OSError) as error:
        record(f"client: {request} ends with {type(error).__name__}")
    finally:
        writer.close()
        try:
            await writer.wait_closed()
        except OSError:
            pass
        left_at[request] = time.monotonic()
        record(f"client: {request} has closed its connection")


async def case(record):
    fleet = Fleet(record, controls=3, entries=1)
    try:
        await fleet.start()
        upstream = Upstream(fleet, 1, "archive", slots=SLOTS, work_s=WORK_S)
        await fleet.configure(configuration(
            1, [("photos", "/photos/", "upload", "archive", LIMIT_MS, 1)], ["archive"]))
        await upstream.start()
        await fleet.ready()
        await asyncio.sleep(1)
        left_at = {}
        # The first ones take the slots; those that leave do so while they wait for one.
        leave = [upload(fleet, record, number, True, left_at) for number in LEAVING if TROUBLE]
        stay = [upload(fleet, record, number, False, left_at) for number in range(UPLOADS)
                if number not in LEAVING or not TROUBLE]
        waiting = asyncio.gather(*stay, *leave)
        await asyncio.sleep(LEAVE_AFTER_S + 0.5)
        arrived = closes_arrived((fleet.entries[0].ip, fleet.front_port))
        record(f"{fleet.entries[0].name}: {arrived} connections whose client's close has arrived are still held open")
        if TROUBLE and arrived < len(leave):
            waiting.cancel()
            raise CannotRun("the closes have not all reached the machine")
        seen_at = time.monotonic()
        await waiting
        await asyncio.sleep(LIMIT_MS / 1000)
    finally:
        fleet.stop()
    late = [(request, at - max(seen_at, left_at[request])) for at, request, *_ in upstream.runs
            if request in left_at and at - max(seen_at, left_at[request]) > 0.5]
    for request, seconds in late:
        record(f"{request} reached {upstream.id} {seconds:.2f} s after its client's close had reached the machine")
    if len(late) > FEW:
        return [f"GONE: {len(late)} uploads reached an upstream over half a second after their clients' closes had "
                f"reached the machine, the last one {max(seconds for _, seconds in late):.1f} s after"]
    return []


run_case(FOLDER, case)
