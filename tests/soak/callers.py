"""Load generator: sends requests of callers over persistent connections to the entry VMs."""

import asyncio
import itertools
import random

import http1
from fleet import CALLER_PORT, READY_PORT
from oracle import Request

MAX_KEPT = 4
USUAL_DEADLINE_S = 2.0


class Route:
    def __init__(self, name, path, method, kind, service, body_bytes, deadline_s=USUAL_DEADLINE_S):
        self.name = name
        self.path = path
        self.method = method
        self.kind = kind
        self.service = service
        self.body_bytes = body_bytes
        self.deadline_s = deadline_s

    @property
    def repeatable(self):
        return self.kind == "idempotent"


ROUTES = (Route("status", "/status/7", "GET", "idempotent", "desk", 0),
          Route("orders", "/orders/9", "POST", "non_idempotent", "desk", 300),
          # Longer than the grace period, so that its requests may wait at the end of a planned stop.
          Route("photos", "/photos/3", "POST", "upload", "archive", 30000, deadline_s=8.0))
HOST = "shop.example"


class Callers:
    def __init__(self, fleet, oracle, teams, seed):
        self.fleet = fleet
        self.oracle = oracle
        self.teams = teams
        self.random = random.Random(seed)
        self.ready = set()
        self.kept = {}
        self.numbers = itertools.count(1)
        self.tasks = set()
        # (completion time, status) of each request, used to check the recovery.
        self.ends = []

    async def watch_readiness(self):
        """Probes readiness like the platform: once a second; two failed probes remove an entry VM."""
        misses = {entry.name: 2 for entry in self.fleet.entries}
        while True:
            for entry in self.fleet.entries:
                ready = await self._is_ready(entry)
                misses[entry.name] = 0 if ready else misses[entry.name] + 1
                if misses[entry.name] >= 2:
                    self.ready.discard(entry)
                else:
                    self.ready.add(entry)
            await asyncio.sleep(1)

    @staticmethod
    async def _is_ready(entry):
        return await http1.is_served(f"{entry.ip}:{READY_PORT}", "/readiness", timeout=0.3)

    async def send(self, per_second):
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += self.random.expovariate(per_second)
            await asyncio.sleep(max(0, due - loop.time()))
            task = asyncio.create_task(self._request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _request(self):
        entries = sorted(self.ready, key=lambda entry: entry.name) or self.fleet.entries
        entry = self.random.choice(entries)
        route = self.random.choices(ROUTES, weights=(3, 6, 1))[0]
        team = self.random.choice(sorted(self.teams))
        body = self.random.randbytes(route.body_bytes)
        request = Request(f"{next(self.numbers):016x}", route, team, body, route.deadline_s)
        request.entry = entry
        self.oracle.requests[request.id] = request
        try:
            await asyncio.wait_for(self._exchange(entry, request), request.deadline_s + 0.3)
        except (asyncio.TimeoutError, asyncio.LimitOverrunError):
            pass
        except (OSError, http1.Closed):
            self.oracle.cut_off(request, entry)
        self.ends.append((asyncio.get_running_loop().time(), request.status))

    async def _exchange(self, entry, request):
        kept = self.kept.setdefault(entry.name, [])
        if kept:
            reader, writer = kept.pop()
        else:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(entry.ip, CALLER_PORT), 1.0)
        done = False
        try:
            writer.write(self._message(request))
            answer = await http1.read_message(reader)
            if answer is None:
                raise http1.Closed("connection closed before a response")
            line, headers, body = answer
            self.oracle.answered(request, int(line.split()[1]), headers, body, self.fleet)
            done = headers.get("connection", "") != "close" and len(kept) < MAX_KEPT
        finally:
            if done:
                kept.append((reader, writer))
            else:
                writer.transport.abort()

    def _message(self, request):
        headers = {"Host": HOST, "X-Daisyhaven-Request-Id": request.id,
                   "X-Daisyhaven-Request-Deadline-Ms": str(int(request.deadline_s * 1000)),
                   "X-Daisyhaven-Tenant-Id": "forged", "Authorization": f"Bearer key-{request.team}"}
        return http1.message(f"{request.route.method} {request.route.path} HTTP/1.1", headers, request.body)


def document(teams, timeout_ms):
    """Returns a complete configuration in the format of the platform."""
    routes = [[route.name, HOST, f"/{route.path.split('/')[1]}/", route.kind,
               int(timeout_ms * route.deadline_s / USUAL_DEADLINE_S), 600,
               2 if route.repeatable else 1, None, 2, False, route.service] for route in ROUTES]
    services = [[name, "/health", 100, "h1", False, 1.0, 10.0] for name in ("desk", "archive")]
    rows = [[name, [f"key-{name}"], 1, rate, burst] for name, (rate, burst) in sorted(teams.items())]
    return {
        "routes": {"columns": ["name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs", "priority",
                               "trafficSplit", "maxAttempts", "allowAnonymous", "service"], "rows": routes},
        "services": {"columns": ["name", "healthCheckPath", "maxConnections", "protocol", "tls", "coldStartS",
                                 "coldPerS"], "rows": services},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": {"columns": ["name", "apiKeys", "priority", "ratePerS", "burst"], "rows": rows}}
