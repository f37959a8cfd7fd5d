#!/usr/bin/env python3
"""Soak test: runs the real programs on loopback under random faults and checks their guarantees.

    soak.py [--seeds 1-50] [--seconds 25] [--entries 5] [--controls 5] [--load 60] [--net 1] [--folder DIR]
            [--upgrade-from BINARY]

Each seed draws a series of faults. A seed fails if a guarantee is violated, if a process ends unexpectedly, or if
the fleet does not recover after the last fault; its logs stay in the folder.

With --upgrade-from, all processes start from that build, and one after the other is replaced by the one under test
while the faults go on. Exchanging the two builds tests the way back.
"""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from callers import Callers, document  # noqa: E402
from faults import FAULTS_END_S, Faults  # noqa: E402
from fleet import ZONES, Fleet, wait_for  # noqa: E402
from oracle import Oracle  # noqa: E402
from servers import Server  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TEAMS = {"north": (60, 60), "south": (60, 60), "small": (30, 30)}
SERVERS = (("desk", 6), ("archive", 3))
START_S = 15
RECOVERY_S = 15
SETTLED_S = 5
# Time to report what has not ended.
REPORT_S = 30
REPLACEMENT_PAUSE_S = 1.0
REPLACEMENTS_END_S = 60
LEAST_SERVED_AFTER_RECOVERY = 0.9


async def play(seed, options, folder):
    oracle = Oracle(TEAMS)
    fleet = Fleet(folder, options.binary, oracle, seed, options)
    callers = Callers(fleet, oracle, TEAMS, seed)
    number = 0
    for service, count in SERVERS:
        for i in range(count):
            number += 1
            fleet.servers.append(Server(fleet, number, service, ZONES[i % len(ZONES)], seed + number))
    background = []
    for process in fleet.controls + fleet.entries:
        process.binary = options.upgrade_from or fleet.binary
    try:
        fleet.start()
        for server in fleet.servers:
            await server.start()
        # Operators may begin with version 0, which earlier builds don't store.
        first_version = 1 if options.upgrade_from else seed % 2
        faults = Faults(fleet, TEAMS, seed, first_version)
        await fleet.configure(faults.version, document(TEAMS, 1500))
        background.append(asyncio.create_task(callers.watch_readiness()))
        if not await wait_for(lambda: len(callers.ready) == len(fleet.entries), START_S):
            oracle.fail("start", f"{len(callers.ready)} of {len(fleet.entries)} entry VMs were ready")
            return oracle, callers, faults
        background.append(asyncio.create_task(callers.send(options.load)))
        background.append(asyncio.create_task(read_configuration(fleet)))
        replacing = asyncio.create_task(replace_builds(fleet, seed) if options.upgrade_from else asyncio.sleep(0))
        background.append(replacing)
        await faults.run(options.seconds)
        await asyncio.wait_for(replacing, REPLACEMENTS_END_S)
        await judge_recovery(fleet, oracle, callers)
    finally:
        for task in background + list(callers.tasks):
            task.cancel()
        for process in fleet.processes():
            process.note_own_end()
            for code in process.own_ends:
                oracle.fail("own ends", f"{process.name} ended with code {code}")
        fleet.stop()
        for server in fleet.servers:
            server.crash()
            server.relay.stop()
    oracle.check_windows()
    return oracle, callers, faults


async def replace_builds(fleet, seed):
    """Replaces the build of each process, in a random order and one at a time."""
    order = random.Random(seed).sample(fleet.controls + fleet.entries, len(fleet.controls + fleet.entries))
    for process in order:
        process.binary = fleet.binary
        if process.gone:
            continue
        process.signal(signal.SIGKILL if process.role == "control" else signal.SIGTERM)
        await process.ended()
        process.start()
        await asyncio.sleep(REPLACEMENT_PAUSE_S)


async def read_configuration(fleet):
    while True:
        await fleet.read_version()
        await asyncio.sleep(0.7)


async def judge_recovery(fleet, oracle, callers):
    await asyncio.sleep(RECOVERY_S)
    begun = asyncio.get_running_loop().time()
    await asyncio.sleep(SETTLED_S)
    statuses = [status for at, status in callers.ends if at >= begun]
    served = sum(1 for status in statuses if status == 200) / max(1, len(statuses))
    if served < LEAST_SERVED_AFTER_RECOVERY:
        oracle.fail("recovery", f"{served:.2f} of {len(statuses)} requests were served after the faults")
    version = await fleet.read_version(attempts=40)
    if version is None or version < oracle.confirmed_version:
        oracle.fail("durable", f"version {version} at the end, {oracle.confirmed_version} was confirmed")


def play_seed(seed, options):
    folder = os.path.join(options.folder, f"seed-{seed}")
    shutil.rmtree(folder, ignore_errors=True)
    limit = START_S + options.seconds + REPLACEMENTS_END_S + FAULTS_END_S + RECOVERY_S + SETTLED_S + REPORT_S
    oracle, callers, faults = asyncio.run(asyncio.wait_for(play(seed, options, folder), limit))
    statuses = [status for _, status in callers.ends]
    served = sum(1 for status in statuses if status == 200) / max(1, len(statuses))
    verdict = "passed" if not oracle.broken else "FAILED"
    print(f"seed {seed}: {verdict}; {len(statuses)} requests, {served:.3f} served, "
          f"{len(faults.log)} faults", flush=True)
    for text in oracle.broken[:10]:
        print(f"  {text}", flush=True)
    if oracle.broken:
        with open(os.path.join(folder, "faults"), "w", encoding="utf-8") as file:
            file.write("\n".join(sorted(faults.log) + oracle.broken) + "\n")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return not oracle.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--entries", type=int, default=5)
    parser.add_argument("--controls", type=int, default=5)
    parser.add_argument("--load", type=float, default=60)
    parser.add_argument("--net", type=int, default=1, help="addresses 127.NET.0.0 to 127.NET.3.255 are used")
    parser.add_argument("--folder", default=os.path.join(tempfile.gettempdir(), "daisyhaven-soak"))
    parser.add_argument("--upgrade-from", help="build from which all processes start")
    parser.add_argument("--binary", default=os.path.join(
        os.environ.get("DAISYHAVEN_BUILD", os.path.join(ROOT, "build")), "bin", "daisyhaven"))
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    failed = [seed for seed in seeds if not play_seed(seed, options)]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
