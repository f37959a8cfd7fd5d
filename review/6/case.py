"""CONFIG: the control group ends for good while machines of the core are replaced, never more than two lost at a time.

The same as day.toml with real processes: five machines of the core, of which two may be lost at once.
"""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
from stand import HOST, TROUBLE, CannotRun, Fleet, Process, Upstream, call, configuration, run_case  # noqa: E402

CATCH_UP_S = 4
# The operator reads for so long after the last machine counts as back; the pages ask for contactMs (3 s) at least, and
# recoveryS is 15 s.
READ_FOR_S = 30


class Core:
    """The machines of the core, and which of them count as lost."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        # Machine -> time until which it counts as lost.
        self.lost_until = {}
        self.most_lost = 0

    def lose(self, machine, back_after, catch_up=CATCH_UP_S):
        """Kills a machine's process; the machine counts as lost until its successor or itself has caught up."""
        now = time.monotonic()
        machine.kill()
        self.lost_until[machine.name] = now + back_after + catch_up
        lost = [name for name, until in self.lost_until.items() if until > now]
        self.most_lost = max(self.most_lost, len(lost))
        self.record(f"platform: lost now: {', '.join(lost)}")

    def successor(self):
        """Starts an empty machine at a new address."""
        fleet = self.fleet
        machine = Process(fleet, "control", len(fleet.controls))
        machine.first = False
        fleet.controls.append(machine)
        self.name_seeds(machine)
        machine.start()

    def name_seeds(self, started):
        running = [machine.number + 1 for machine in self.fleet.controls if machine.running and machine is not started]
        self.fleet.seeds = running[-3:]

    def back(self, machine):
        self.name_seeds(machine)
        machine.start()

    async def leader(self):
        """Returns the machine that answers a read of the configuration itself."""
        for _ in range(20):
            for machine in self.fleet.controls:
                if not machine.running:
                    continue
                try:
                    status, _, _ = await call((machine.ip, self.fleet.control_port), "GET", "/configuration", timeout=0.3)
                except (OSError, EOFError, asyncio.TimeoutError):
                    continue
                if status == 200:
                    return machine
            await asyncio.sleep(0.05)
        raise CannotRun("no machine of the core answers a read")


async def replace_machines(core, started):
    """Power loss and return of one machine, a killed process, and three machines that are replaced."""
    fleet = core.fleet

    async def until(seconds):
        await asyncio.sleep(max(started + seconds - time.monotonic(), 0))

    leader = await core.leader()
    others = [machine for machine in fleet.controls if machine is not leader]
    dark, first = others[0], others[1]
    await until(0.0)
    core.record(f"{dark.name} loses power for 7 s")
    core.lose(dark, 7.0)
    await until(0.5)
    core.record(f"{first.name} is gone for good; its successor comes 1 s later")
    core.lose(first, 1.0)
    await until(1.5)
    core.successor()
    await until(7.0)
    core.back(dark)
    await until(8.4)
    killed = await core.leader()
    await until(8.5)
    core.record(f"the process of {killed.name}, which leads, is killed and starts again")
    core.lose(killed, 0.5)
    await until(9.0)
    core.back(killed)
    await until(10.6)
    second = await core.leader()
    await until(11.1)
    core.record(f"{second.name}, which leads, is gone for good; its successor comes 2 s later")
    core.lose(second, 2.0)
    await until(13.1)
    core.successor()
    third = next(machine for machine in fleet.controls if machine.running and machine is not dark
                 and machine is not fleet.controls[-1])
    third = killed if killed.running else third
    core.record(f"{third.name} is gone for good; its successor comes 1 s later")
    core.lose(third, 1.0)
    await until(14.1)
    core.successor()


async def case(record):
    fleet = Fleet(record, controls=5, entries=1, tolerance=2)
    core = Core(fleet, record)
    try:
        await fleet.start()
        upstream = Upstream(fleet, 1, "desk")
        routes = [("lists", "/lists/", "idempotent", "desk", 1500, 2)]
        if await fleet.configure(configuration(1, routes, ["desk"])) != 200:
            raise CannotRun("the first configuration isn't accepted")
        await upstream.start()
        await fleet.ready()
        await asyncio.sleep(6)
        started = time.monotonic()
        replaced = asyncio.create_task(replace_machines(core, started)) if TROUBLE else None
        await asyncio.sleep(max(started + 10.0 - time.monotonic(), 0))
        document = configuration(2, routes, ["desk"])
        acknowledged = await fleet.configure(document, tries=8)
        if replaced:
            await replaced
            if core.most_lost > 2:
                raise CannotRun(f"{core.most_lost} machines were lost at once")
        await asyncio.sleep(CATCH_UP_S)
        end = time.monotonic() + READ_FOR_S
        read = None
        while read is None and time.monotonic() < end:
            status, body = await fleet.order("GET", "/configuration", tries=4)
            record(f"operator: GET /configuration: {status}")
            read = json.loads(body) if status == 200 else None
        running = [machine.name for machine in fleet.controls if machine.running]
        record(f"machines of the core that run: {', '.join(running)}")
        try:
            status, _, _ = await call((fleet.entries[0].ip, fleet.front_port), "GET", "/lists/1", b"", 3, host=HOST, headers={
                "X-Daisyhaven-Request-Id": "6000000000000001", "X-Daisyhaven-Request-Deadline-Ms": "2500"})
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            status = type(error).__name__
        record(f"client: GET /lists/1: {status}")
    finally:
        fleet.stop()
    if read is None:
        return [f"CONFIG: version {2 if acknowledged == 200 else 1:08x} was acknowledged with 200; read back for "
                f"{READ_FOR_S} s, the configuration doesn't come; {len(running)} machines of the core run, and never "
                f"were more than {core.most_lost} lost at once"]
    if acknowledged == 200 and read != document:
        return [f"CONFIG: version 00000002 was acknowledged; read back: {read.get('version')}"]
    return []


run_case(FOLDER, case)
