"""Processes of a fleet: settings, start and signals; and requests of operators."""

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import time

import http1
from oracle import READ_LAG_S

ZONES = ("a", "b", "c")
CALLER_PORT, READY_PORT, CONTROL_PORT, INNER_PORT = 8689, 8687, 8683, 7360
GRACE_S = 4


async def wait_for(condition, limit_s):
    end = time.monotonic() + limit_s
    while not condition() and time.monotonic() < end:
        await asyncio.sleep(0.05)
    return condition()


class Process:
    """The daisyhaven process of one VM."""

    def __init__(self, fleet, role, number):
        self.fleet = fleet
        self.role = role
        self.name = f"{role}-{number}"
        self.ip = f"{fleet.net}.{0 if role == 'control' else 1}.{number + 1}"
        self.zone = ZONES[number % len(ZONES)]
        self.folder = os.path.join(fleet.folder, self.name)
        self.data = os.path.join(self.folder, "data")
        self.process = None
        self.first_start = True
        self.internal_ports = 16
        # The VM has been taken away for good.
        self.gone = False
        # The build that the next start runs.
        self.binary = fleet.binary
        # Whether the current process was told to end.
        self.ending = False
        # Whether it was told by SIGTERM, and has not been disturbed since.
        self.stops_as_planned = False
        # Exit codes of processes that ended without being told to.
        self.own_ends = []
        # Times at which a signal stopped, killed or paused the process, and at which it was started.
        self.troubled_at = []

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def start(self):
        """Starts the process unless a concurrent fault has already restarted it or taken its VM away."""
        if self.running or self.gone:
            return
        self.note_own_end()
        self.ending = False
        self.stops_as_planned = False
        os.makedirs(self.folder, exist_ok=True)
        settings = os.path.join(self.folder, "settings.toml")
        with open(settings, "w", encoding="ascii") as file:
            file.write(self._settings())
        self.first_start = False
        self.troubled_at.append(time.monotonic())
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                [self.binary, "platform", self.role], stdout=log, stderr=log,
                env={**os.environ, "DAISYHAVEN_NODE_FILE": settings})

    def _settings(self):
        seeds = [f'"{control.ip}:{CONTROL_PORT}"' for control in self.fleet.controls[:3]]
        listen = (f'controlPlane = "{self.ip}:{CONTROL_PORT}"' if self.role == "control" else
                  f'frontendAddress = "{self.ip}:{CALLER_PORT}"\nready = "{self.ip}:{READY_PORT}"')
        founding = "true" if self.role == "control" and self.first_start else "false"
        return f"""[self]
nodeName = "{self.name}"
ipAddress = "{self.ip}"
zone = "{self.zone}"
bootstrap = {founding}
dataDirectory = "{self.data if self.role == 'control' else ''}"
[network]
internalPortRange = [{INNER_PORT},{INNER_PORT + self.internal_ports - 1}]
seedNodes = [{",".join(seeds)}]
[network.listenAddresses]
{listen}
[terms.faultTolerance]
machines = 2
[terms.bounds]
gracePeriodS = {GRACE_S}
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 40
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 20
"""

    def signal(self, number):
        if self.running:
            if number != signal.SIGHUP:
                self.troubled_at.append(time.monotonic())
            self.ending = self.ending or number in (signal.SIGKILL, signal.SIGTERM)
            if number != signal.SIGHUP:
                self.stops_as_planned = number == signal.SIGTERM and self.state() != "T"
            self.process.send_signal(number)

    def note_own_end(self):
        """Records how the current process ended, if nobody told it to."""
        code = self.process.poll() if self.process else None
        if code is not None and (code > 0 or not self.ending):
            self.own_ends.append(code)

    def state(self):
        if not self.running:
            return "ended"
        with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
            return file.read().rpartition(")")[2].split()[0]

    def wipe(self):
        """Deletes the data folder. The process must not be running."""
        shutil.rmtree(self.data, ignore_errors=True)

    async def ended(self):
        """Waits until the current process has ended, even if another one is started meanwhile."""
        process = self.process
        while process.poll() is None:
            await asyncio.sleep(0.05)


class Fleet:
    def __init__(self, folder, binary, oracle, seed, options):
        self.folder = folder
        self.binary = binary
        self.net = f"127.{options.net}"
        self.oracle = oracle
        self.random = random.Random(seed)
        self.controls = [Process(self, "control", i) for i in range(options.controls)]
        self.entries = [Process(self, "entry", i) for i in range(options.entries)]
        # Control VMs that were taken away for good.
        self.gone_controls = []
        self.servers = []
        # Request id -> signature of the response that a backend server sent.
        self.answers = {}

    def start(self):
        for process in self.controls + self.entries:
            process.start()

    def processes(self):
        """Returns all processes, also those of VMs that are gone."""
        return self.controls + self.gone_controls + self.entries

    def add_control(self):
        """Starts an empty control VM at an address of its own."""
        control = Process(self, "control", len(self.controls) + len(self.gone_controls))
        control.first_start = False
        self.controls.append(control)
        control.start()
        return control

    def take_away(self, control):
        """The VM never starts again. Its process must have ended or be about to."""
        control.gone = True
        self.controls.remove(control)
        self.gone_controls.append(control)

    def stop(self):
        """Kills the processes that this fleet started, and no others."""
        for process in self.processes():
            if process.running:
                process.process.send_signal(signal.SIGCONT)
                process.process.kill()
                process.process.wait()

    def answer_body(self, signature, request_id):
        from servers import answer_body
        return answer_body(signature) if self.answers.get(request_id) == signature else None

    async def order(self, method, path, body=b"", attempts=20):
        """Calls any control VM, follows redirects, and moves on after a failure; returns the status."""
        status, _ = await self.ask(method, path, body, attempts)
        return status

    async def ask(self, method, path, body=b"", attempts=20):
        for attempt in range(attempts):
            address = f"{self.random.choice(self.controls).ip}:{CONTROL_PORT}"
            for _ in range(3):
                try:
                    status, headers, answer = await http1.call(address, method, path, body)
                except (OSError, http1.Closed, asyncio.TimeoutError):
                    break
                if status == 307:
                    address = headers["location"].split("/")[2]
                    continue
                if status < 500:
                    return status, answer
                break
            await asyncio.sleep(min(0.05 * (attempt + 1), 0.4))
        return None, b""

    def states(self):
        """Returns the scheduling state of each process, as the kernel names it; T: stopped."""
        return " ".join(f"{process.name}={process.state()}" for process in self.controls + self.entries)

    # ---- operators ----

    async def configure(self, version, document):
        text = json.dumps({"version": f"{version:08x}", **document}).encode()
        if await self.order("PUT", "/configuration", text) == 200:
            self.oracle.confirmed(version)

    async def read_version(self, attempts=3):
        known = self.oracle.confirmed_version
        if time.monotonic() - self.oracle.confirmed_at < READ_LAG_S:
            known = 0
        asked_at = time.monotonic()
        status, answer = await self.ask("GET", "/configuration", attempts=attempts)
        if status != 200:
            return None
        version = int(json.loads(answer)["version"], 16)
        self.oracle.read(asked_at, known, version)
        return version
