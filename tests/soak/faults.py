"""Fault injection: faults are drawn from a seeded generator and may overlap."""

import asyncio
import random
import signal
import time

from callers import document
from relay import MODES
from servers import FAILURES, Server

# Time that a control VM with an empty disk needs to join the group; no other disk is lost meanwhile.
CATCH_UP_S = 6.0
# Upper bound on the duration of the longest fault, including retried requests of operators.
FAULTS_END_S = 90
# Requests that a server takes while its service is short.
SHORT_PER_S = 0.3


class Faults:
    def __init__(self, fleet, teams, seed, first_version):
        self.fleet = fleet
        self.teams = teams
        self.random = random.Random(seed)
        self.version = first_version
        # When the last empty control VM started; infinite until it does.
        self.disk_lost_at = -CATCH_UP_S
        self.next_server = len(fleet.servers) + 1
        self.tasks = []
        # Names of the faults that have not ended, by task.
        self.running = {}
        self.log = []

    async def run(self, seconds):
        end = time.monotonic() + seconds
        kinds = (self.kill, self.pause, self.terminate, self.kill_all_controls, self.wipe, self.hang_up,
                 self.break_server, self.break_path, self.crash_server, self.replace_server, self.change,
                 self.race, self.zone_out, self.limit_servers, self.replace_unannounced, self.replace_control,
                 self.stop_while_short)
        weights = (3, 4, 3, 1, 1, 1, 4, 4, 2, 2, 3, 1, 1, 2, 2, 2, 2)
        while time.monotonic() < end:
            fault = self.random.choices(kinds, weights)[0]
            self.tasks.append(asyncio.create_task(self._logged(fault)))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        _, pending = await asyncio.wait(self.tasks, timeout=FAULTS_END_S)
        for task in pending:
            self.fleet.oracle.fail("faults end", f"{self.running[task]}; processes: {self.fleet.states()}")
            task.cancel()
        for task in self.tasks:
            if task not in pending and task.exception() is not None:
                raise task.exception()

    async def _logged(self, fault):
        started = time.monotonic()
        self.running[asyncio.current_task()] = f"{fault.__name__} since {started:.2f}"
        what = await fault()
        self.log.append(f"{started:.2f} to {time.monotonic():.2f}: {fault.__name__} {what or ''}")

    def _any_process(self):
        group = self.fleet.controls if self.random.random() < 0.5 else self.fleet.entries
        return self.random.choice(group)

    # ---- processes ----

    async def kill(self):
        process = self._any_process()
        process.signal(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0.05, 2))
        process.start()
        return process.name

    async def pause(self):
        process = self._any_process()
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, 3))
        process.signal(signal.SIGCONT)
        return process.name

    async def terminate(self):
        process = self._any_process()
        process.signal(signal.SIGTERM)
        await process.ended()
        process.start()
        return process.name

    async def stop_while_short(self):
        """An entry VM stops as planned while the servers of one service take hardly anything."""
        servers = [server for server in self.fleet.servers if server.service == "archive" and server.state == "ready"]
        for server in servers:
            server.name_limit(SHORT_PER_S)
        await asyncio.sleep(self.random.uniform(1, 3))
        process = self.random.choice(self.fleet.entries)
        process.signal(signal.SIGTERM)
        await process.ended()
        process.start()
        for server in servers:
            server.name_limit(None)
        return process.name

    async def kill_all_controls(self):
        for process in self.fleet.controls:
            process.signal(signal.SIGKILL)
        await asyncio.gather(*(process.ended() for process in self.fleet.controls))
        await asyncio.sleep(self.random.uniform(0.05, 0.8))
        for process in self.fleet.controls:
            process.start()

    async def wipe(self):
        if time.monotonic() - self.disk_lost_at < CATCH_UP_S:
            return "left out"
        self.disk_lost_at = float("inf")
        process = self.random.choice(self.fleet.controls)
        process.signal(signal.SIGKILL)
        await process.ended()
        wiped = not process.running
        if wiped:
            process.wipe()
            process.start()
        self.disk_lost_at = time.monotonic()
        return process.name if wiped else "left out"

    async def replace_control(self):
        """A control VM is gone for good and an empty one comes at another address, before it or after."""
        if time.monotonic() - self.disk_lost_at < CATCH_UP_S:
            return "left out"
        self.disk_lost_at = float("inf")
        process = self.random.choice(self.fleet.controls)
        planned = self.random.random() < 0.3
        if planned:
            fresh = self.fleet.add_control()
            await asyncio.sleep(self.random.uniform(0.5, 5))
        self.fleet.take_away(process)
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGTERM if planned else signal.SIGKILL)
        await process.ended()
        if not planned:
            await asyncio.sleep(self.random.uniform(0.2, 2))
            fresh = self.fleet.add_control()
        self.disk_lost_at = time.monotonic()
        return f"{process.name} by {fresh.name}" + (" as planned" if planned else "")

    async def hang_up(self):
        process = self._any_process()
        process.signal(signal.SIGHUP)
        return process.name

    # ---- backend servers ----

    def _any_server(self):
        return self.random.choice([s for s in self.fleet.servers if s.state == "ready"])

    async def break_server(self):
        server = self._any_server()
        server.failure = self.random.choice(FAILURES)
        what = f"{server.id} {server.failure}"
        await asyncio.sleep(self.random.uniform(0.5, 4))
        server.failure = None
        return what

    async def break_path(self):
        server = self._any_server()
        mode = self.random.choice(MODES)
        server.relay.set_mode(mode)
        await asyncio.sleep(self.random.uniform(0.3, 3))
        server.relay.set_mode(None)
        return f"{server.id} {mode}"

    async def crash_server(self):
        server = self._any_server()
        server.state = "crashed"
        server.crash()
        await asyncio.sleep(self.random.uniform(0.2, 2))
        await server.start()
        return server.id

    async def limit_servers(self):
        """Some servers name a limit, which may change once before it goes away."""
        servers = {self._any_server() for _ in range(3)}
        for per_second in (self.random.uniform(1, 4), self.random.choice((1.0, 6.0)), None):
            for server in servers:
                if server.state == "ready":
                    server.name_limit(per_second)
            await asyncio.sleep(self.random.uniform(4, 8) if per_second else 0)
        return " ".join(sorted(server.id for server in servers))

    async def replace_server(self):
        return await self._replace(Server.leave)

    async def replace_unannounced(self):
        return await self._replace(Server.leave_unannounced)

    async def _replace(self, leave):
        old = self._any_server()
        fresh = Server(self.fleet, self.next_server, old.service, old.zone, self.random.random())
        self.next_server += 1
        await fresh.start()
        self.fleet.servers.append(fresh)
        await leave(old)
        old.relay.stop()
        self.fleet.servers.remove(old)
        return f"{old.id} by {fresh.id}"

    # ---- operators ----

    async def change(self):
        self.version += self.random.randint(1, 3)
        version = self.version
        await self.fleet.configure(version, document(self.teams, self.random.choice((1500, 1800, 2500))))
        return version

    async def race(self):
        self.version += 1
        version = self.version
        self.version += 1
        await asyncio.gather(self.fleet.configure(version, document(self.teams, 1700)),
                             self.fleet.configure(version + 1, document(self.teams, 1900)))
        return f"{version} and {version + 1}"

    async def zone_out(self):
        if self.fleet.oracle.zones_out:
            return "left out"
        zone = self.random.choice(("a", "b", "c"))
        self.fleet.oracle.zones_out[zone] = float("inf")
        if await self.fleet.order("POST", f"/evacuation/{zone}") == 200:
            self.fleet.oracle.zones_out[zone] = time.monotonic()
        await asyncio.sleep(self.random.uniform(1, 7))
        # The zone may serve again from here on, whether or not the response arrives.
        self.fleet.oracle.zones_out.pop(zone)
        await self.fleet.order("DELETE", f"/evacuation/{zone}", attempts=60)
        return zone
