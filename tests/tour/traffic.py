"""Callers for the failure tour, and the checker of what they and the backend servers saw."""

import http.client
import itertools
import json
import random
import select
import socket
import threading
import time


class Sent:
    """One request and its outcome."""

    __slots__ = ("at", "took", "method", "tag", "team", "vm", "status", "code", "run", "whole", "key")

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values.get(name))


class Balancer:
    """Load balancer of the platform: probes the health page of each VM and picks a healthy one."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.green = list(fleet.entries)
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._watch, daemon=True)
        self.thread.start()

    def _watch(self):
        while not self.stopping.wait(0.2):
            self.green = [vm for vm in self.fleet.entries if self.fleet.healthy(vm)] or self.green

    def pick(self, generator):
        return generator.choice(self.green)

    def stop(self):
        self.stopping.set()
        self.thread.join()


class Callers:
    """Threads that send requests of several teams at a steady pace until stopped."""

    numbers = itertools.count(1)

    def __init__(self, fleet, keys, read_path, write_path, per_second=120, threads=12, timeout=12):
        self.fleet = fleet
        self.keys = keys
        self.read_path = read_path
        self.write_path = write_path
        self.pause = threads / per_second
        self.timeout = timeout
        self.sent = []
        self.stopping = threading.Event()
        self.balancer = Balancer(fleet)
        self.threads = [threading.Thread(target=self._run, args=(i,), daemon=True) for i in range(threads)]
        for thread in self.threads:
            thread.start()

    def _run(self, index):
        generator = random.Random(index)
        connections = {}
        teams = sorted(self.keys)
        time.sleep(index * self.pause / len(self.threads))
        due = time.time()
        while not self.stopping.is_set():
            team = generator.choice(teams)
            write = generator.random() < 0.3
            vm = self.balancer.pick(generator)
            self.sent.append(self.send(connections, vm, team, write))
            due = max(due + self.pause, time.time() - 1)
            self.stopping.wait(max(0, due - time.time()))

    def send(self, connections, vm, team, write, key=None, tag=None):
        """Sends one request on a kept connection; one that cannot be opened goes to nobody."""
        tag = tag or f"t{next(Callers.numbers)}"
        method = "POST" if write else "GET"
        path = f"{self.write_path}?{tag}" if write else f"{self.read_path}{tag}"
        sent = Sent(at=time.time(), method=method, tag=tag, team=team, vm=vm["id"], key=key)
        headers = {"Authorization": f"Bearer {self.keys[team]}"}
        if key:
            headers["Idempotency-Key"] = f'"{key}"'
        try:
            connection = connections.pop(vm["id"], None)
            if connection is None or select.select([connection.sock], [], [], 0)[0]:
                host, port = vm["caller"].split(":")
                connection = http.client.HTTPConnection(host, int(port), timeout=self.timeout)
                connection.connect()
                connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.request(method, path, body=tag if write else None, headers=headers)
            answer = connection.getresponse()
            body = answer.read()
            sent.status = answer.status
            sent.run = answer.getheader("X-Daisyhaven-Run")
            sent.code = answer.getheader("X-Daisyhaven-Result")
            sent.whole = sent.run is not None or tag.encode() in body
            if not answer.will_close:
                connections[vm["id"]] = connection
        except (OSError, http.client.HTTPException) as error:
            sent.code = type(error).__name__
        sent.took = time.time() - sent.at
        return sent

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        self.balancer.stop()


def measures(sent, since, until):
    """Returns the brief's measures over the requests that began in a span of time."""
    span = [s for s in sent if since <= s.at < until]
    refused = [s for s in span if s.status in (429, 503) and s.run == "not-run"]
    good = [s for s in span if s.status == 200]
    by_team = {}
    for s in span:
        by_team.setdefault(s.team, []).append(s.status == 200)
    worst = min((sum(v) / len(v) for v in by_team.values()), default=1)
    took = sorted(s.took for s in good)
    return {
        "requests": len(span),
        "served": round(100 * len(good) / max(1, len(span)), 2),
        "worst_team": round(100 * worst, 2),
        "refused": len(refused),
        "other": len(span) - len(good) - len(refused),
        "p99_ms": round(1000 * took[int(0.99 * (len(took) - 1))], 1) if took else 0,
    }


def codes(sent, since=0):
    counts = {}
    for s in sent:
        if s.at >= since and s.status != 200:
            name = f"{s.status} {s.code}"
            counts[name] = counts.get(name, 0) + 1
    return counts


def check(fleet, sent, lost_records=(), rates=None):
    """Returns what is broken of what must always hold, from both sides."""
    broken = []
    runs = {}
    starts = {}
    for backend in fleet.backends:
        if backend["id"] in lost_records:
            continue
        record = fleet.record(backend)
        if record["max_in_flight"] > record["slots"]:
            broken.append(f'{backend["id"]}: {record["max_in_flight"]} at a time, {record["slots"]} slots')
        for run in record["runs"]:
            tag = run["path"].replace("?", "/").rsplit("/", 1)[-1]
            runs.setdefault(tag, []).append(run)
            starts.setdefault(run["team"], []).append(run["at"])
            if run["saw_key"]:
                broken.append(f'{backend["id"]} saw a key')
    by_key = {}
    for s in sent:
        count = len(runs.get(s.tag, []))
        if s.status == 200 and not s.whole:
            broken.append(f"{s.tag}: an answer that is not its own or not whole")
        if s.run == "not-run" and count and not s.key:
            broken.append(f"{s.tag}: said not run ({s.code}), ran {count} times")
        if s.method == "POST" and not s.key and count > 1:
            broken.append(f"{s.tag}: ran {count} times")
        if s.key:
            by_key.setdefault(s.key, set()).add(s.tag)
    for run_list in runs.values():
        for run in run_list:
            if run["idempotency_key"]:
                by_key.setdefault(run["idempotency_key"].strip('"'), set())
    keyed = {}
    for run_list in runs.values():
        for run in run_list:
            if run["idempotency_key"]:
                keyed[run["idempotency_key"]] = keyed.get(run["idempotency_key"], 0) + 1
    broken += [f"key {key} ran {count} times" for key, count in keyed.items() if count > 1]
    for team, (rate, burst) in (rates or {}).items():
        excess = window_excess(sorted(starts.get(team, [])), rate, burst)
        # The backend servers' clock readings come after the start: 50 ms of slack.
        if excess > rate * 0.05:
            broken.append(f"{team}: {excess:.1f} starts above its rate and burst")
    return broken


def window_excess(times, rate, burst):
    """Largest number of starts above burst + rate x W over all windows."""
    worst = 0.0
    low = 0.0
    for i, at in enumerate(times):
        # i + 1 - rate x at, minus its least earlier value, is the fullest window that ends here.
        low = min(low, i - rate * (at - times[0])) if i else 0.0
        worst = max(worst, (i + 1 - rate * (at - times[0])) - low - burst)
    return worst


def dump(name, values):
    print(f"{name}: {json.dumps(values)}", flush=True)
