"""What backend servers say of themselves in responses, and checks that entry VMs keep to it."""

import collections
import time

DRAIN_S = 2.0
QUIET_LAG_S = 0.5
QUIET_SLACK = 2
LIMIT_FROM_S = 3.0
LIMIT_LAG_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


class Quiet:
    """A server has asked an entry VM for no requests."""

    def __init__(self, said_at, until):
        self.said_at = said_at
        self.until = until
        self.arrivals = 0


class Limit:
    """A server names a limit from `named_at` on."""

    def __init__(self, per_second):
        self.per_second = per_second
        self.named_at = time.monotonic()
        # Entry VM -> time at which a response with the limit was passed on.
        self.heard_at = {}
        self.arrivals = collections.deque()


class Statements:
    """Records statements and arrivals. A restart or a pause of an entry VM excuses it."""

    def __init__(self, fail):
        self.fail = fail
        # (server id, start time, entry VM) -> time at which "leaving" was passed on.
        self.leaving = {}
        # (server id, entry VM) -> Quiet of the longest time.
        self.quiet = {}
        # (server id, start time) -> Limit
        self.limits = {}

    def asked_for_quiet(self, server, entry, seconds):
        now = time.monotonic()
        known = self.quiet.get((server.id, entry))
        if known is None or now + seconds > known.until:
            self.quiet[(server.id, entry)] = Quiet(now, now + seconds)

    def named_limit(self, server, per_second):
        """Called when a server starts to name a limit, or stops to with None."""
        self.limits.pop((server.id, server.born), None)
        if per_second is not None:
            self.limits[(server.id, server.born)] = Limit(per_second)

    def passed_on(self, request, headers):
        """A caller received a response."""
        signature = headers.get("x-daisyhaven-response-signature", "").split(".")
        if len(signature) != 3:
            return
        now = time.monotonic()
        server, born = signature[0], int(signature[1])
        if headers.get("server-leaving") == "1":
            self.leaving.setdefault((server, born, request.entry), now)
        limit = self.limits.get((server, born))
        if limit is not None and "server-limit" in headers:
            limit.heard_at.setdefault(request.entry, now)

    def arrived(self, server, request):
        now = time.monotonic()
        self._check_leaving(now, server, request)
        self._check_quiet(now, server, request)
        self._check_limit(now, server, request)

    @staticmethod
    def _is_excused(entry, since):
        return any(at >= since for at in entry.troubled_at)

    def _check_leaving(self, now, server, request):
        heard_at = self.leaving.get((server.id, server.born, request.entry))
        late = heard_at is not None and request.sent_at > heard_at + DRAIN_S
        if late and not self._is_excused(request.entry, heard_at):
            self.fail("said leaving", f"{request.id} reached {server.id} from {request.entry.name} "
                      f"{now - heard_at:.2f} s after it had said so there")

    def _check_quiet(self, now, server, request):
        quiet = self.quiet.get((server.id, request.entry))
        if quiet is None or not quiet.said_at + QUIET_LAG_S < now < quiet.until:
            return
        if server.relay.disturbed_since(quiet.said_at) or self._is_excused(request.entry, quiet.said_at):
            return
        quiet.arrivals += 1
        if quiet.arrivals == QUIET_SLACK + 1:
            self.fail("asked for quiet", f"{quiet.arrivals} requests reached {server.id} from {request.entry.name}, "
                      f"the last {now - quiet.said_at:.2f} s after it had asked for none")

    def _check_limit(self, now, server, request):
        limit = self.limits.get((server.id, server.born))
        if limit is None or now < limit.named_at + LIMIT_FROM_S:
            return
        heard_at = limit.heard_at.get(request.entry)
        counts = heard_at is not None and now >= heard_at + LIMIT_LAG_S
        if not counts or self._is_excused(request.entry, heard_at):
            return
        limit.arrivals.append(now)
        while limit.arrivals[0] <= now - LIMIT_WINDOW_S:
            limit.arrivals.popleft()
        most = limit.per_second * LIMIT_WINDOW_S * LIMIT_FACTOR + LIMIT_SLACK
        if len(limit.arrivals) > most:
            self.fail("limit", f"{server.id} got {len(limit.arrivals)} requests in {LIMIT_WINDOW_S:.0f} s, "
                      f"at most {most:.1f}")
            limit.arrivals.clear()
