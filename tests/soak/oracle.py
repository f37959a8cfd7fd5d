"""Checks the guarantees of the fleet against what callers and backend servers observed."""

import collections
import time

from statements import DRAIN_S, Statements

RATE_WINDOW_S = 5.0
RATE_OVERSHOOT = 0.1
RATE_SLACK = 20
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
RETRY_SLACK = 40
ZONE_OUT_S = 5.0
READ_LAG_S = 2.0
# A VM has read a whole request this long after it was sent.
READ_S = 0.5


class Request:
    """One request of a caller."""

    def __init__(self, request_id, route, team, body, deadline_s):
        self.id = request_id
        self.route = route
        self.team = team
        self.body = body
        self.sent_at = time.monotonic()
        self.deadline_s = deadline_s
        self.entry = None
        self.status = None
        # (time, server id) of each arrival that the backend server executed.
        self.runs = []
        self.arrivals = []


class Oracle:
    """Collects observations and records violated guarantees."""

    def __init__(self, teams):
        self.teams = teams
        self.requests = {}
        self.broken = []
        # Newest configuration version that was confirmed, and the time of the confirmation.
        self.confirmed_version = 0
        self.confirmed_at = 0.0
        # Server id -> time at which its draining was confirmed.
        self.leaving = {}
        self.statements = Statements(self.fail)
        # Zone -> time at which its removal from service was confirmed.
        self.zones_out = {}

    def fail(self, promise, text):
        self.broken.append(f"{promise}: {text}")

    # ---- backend servers ----

    def arrived(self, server, request_id, route, team, headers, body, runs):
        request = self.requests.get(request_id)
        if request is None:
            self.fail("unasked", f"{server.id} received the unknown request {request_id}")
            return
        now = time.monotonic()
        request.arrivals.append((now, server.id))
        self.statements.arrived(server, request)
        if "authorization" in headers:
            self.fail("keys", f"{server.id} got a caller's key with {request_id}")
        if team != request.team:
            self.fail("teams", f"{request_id} of {request.team} ran for {team}")
        if route != request.route.path or body != request.body:
            self.fail("unchanged", f"{request_id} arrived as {route} with {len(body)} bytes")
        if not runs:
            return
        request.runs.append((now, server.id))
        if not request.route.repeatable and len(request.runs) > 1:
            self.fail("once", f"{request_id} ({request.route.path}) ran on {request.runs}")
        if not request.route.repeatable and request.status in (429, 503):
            self.fail("not run", f"{request_id} ran after the answer {request.status}")
        left_at = self.leaving.get(server.id)
        if left_at is not None and request.sent_at > left_at + DRAIN_S:
            self.fail("leaving", f"{request_id} reached {server.id} {now - left_at:.2f} s after it started draining")
        out_at = self.zones_out.get(server.zone)
        if out_at is not None and request.sent_at > out_at + ZONE_OUT_S:
            self.fail("zones", f"{request_id} reached zone {server.zone} {now - out_at:.2f} s after")

    # ---- callers ----

    def cut_off(self, request, entry):
        """A caller's connection ended without a response."""
        age = time.monotonic() - request.sent_at
        if entry.stops_as_planned and age > READ_S and not request.arrivals:
            self.fail("planned stop", f"{request.id} ({request.route.path}) was sent to {entry.name} {age:.2f} s ago, "
                                      "and got neither a server nor an answer")

    def answered(self, request, status, headers, body, servers):
        request.status = status
        self.statements.passed_on(request, headers)
        if status in (429, 503) and not request.route.repeatable and request.runs:
            self.fail("not run", f"{request.id} had run and was answered {status}")
        if 200 <= status < 300:
            signature = headers.get("x-daisyhaven-response-signature", "")
            expected = servers.answer_body(signature, request.id)
            if expected is None or body != expected:
                self.fail("own answer", f"{request.id} got a body of {len(body)} bytes with signature {signature!r}")
        if status in (401, 403, 404):
            self.fail("denied", f"{request.id} ({request.route.path}) was answered {status}")

    # ---- operators ----

    def confirmed(self, version):
        if version > self.confirmed_version:
            self.confirmed_version = version
            self.confirmed_at = time.monotonic()

    def read(self, asked_at, known, version):
        """Checks a read; `known` is the version confirmed at least READ_LAG_S before the request."""
        if version < known:
            self.fail("reads", f"version {version} was read at {asked_at:.2f} after {known} was confirmed")

    # ---- over the whole run ----

    def check_windows(self):
        self._check_rates()
        self._check_retries()

    def _check_rates(self):
        starts = collections.defaultdict(list)
        for request in self.requests.values():
            if request.runs:
                starts[request.team].append(request.sent_at)
        for team, times in starts.items():
            rate, burst = self.teams[team]
            most = (rate * RATE_WINDOW_S + burst) * (1 + RATE_OVERSHOOT) + RATE_SLACK
            count, at = busiest(times, RATE_WINDOW_S)
            if count > most:
                self.fail("rates", f"{team}: {count} requests in a window, at most {most:.0f} ({at:.1f})")

    def _check_retries(self):
        firsts = [request.sent_at for request in self.requests.values()]
        repeats = [at for request in self.requests.values() for at, _ in request.arrivals[1:]]
        for end in sorted(repeats):
            def within(times, shift):
                return sum(1 for at in times if end - RETRY_WINDOW_S - shift < at <= end - shift)
            asked = max(within(firsts, 0), within(firsts, RETRY_WINDOW_S / 2), within(firsts, RETRY_WINDOW_S))
            most = RETRY_RATIO * asked + RETRY_SLACK
            if within(repeats, 0) > most:
                self.fail("retries", f"{within(repeats, 0)} repeats in a window, at most {most:.0f}")
                return


def busiest(times, window):
    """Returns the largest number of `times` in any window and the end of that window."""
    times = sorted(times)
    best, at, first = 0, 0.0, 0
    for index, end in enumerate(times):
        while times[first] <= end - window:
            first += 1
        if index - first + 1 > best:
            best, at = index - first + 1, end
    return best, at
