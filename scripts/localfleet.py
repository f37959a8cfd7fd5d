"""A daisyhaven fleet of processes on loopback, for the quick start, tests and measurements."""

import json
import os
import secrets
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = ["a", "b", "c"]


class LocalFleet:
    """Control VMs, entry VMs and backend servers, each running as a separate process."""

    def __init__(self, folder, build=None, port=21000, controls=1, entries_per_zone=1, timings=None):
        self.folder = os.path.abspath(folder)
        self.build = build or os.environ.get("DAISYHAVEN_BUILD") or os.path.join(ROOT, "build")
        self.binary = os.path.join(self.build, "bin", "daisyhaven")
        self.standin = os.path.join(self.build, "bin", "backend-standin")
        self.port = port
        self.processes = {}
        self.commands = {}
        self.timings = timings or {}
        self.controls = [
            dict(id=f"control-{ZONES[i % 3]}{i // 3 + 1}", zone=ZONES[i % 3], peer=self._address())
            for i in range(controls)
        ]
        self.entries = []
        for number in range(1, entries_per_zone + 1):
            for zone in ZONES:
                self.entries.append(
                    dict(
                        id=f"entry-{zone}{number}",
                        zone=zone,
                        peer=self._address(),
                        caller=self._address(),
                        backend=self._address(),
                        platform=self._address(),
                    )
                )
        self.backends = []
        self.fleet_file = os.path.join(self.folder, "fleet.toml")

    def _address(self):
        self.port += 1
        return f"127.0.0.1:{self.port}"

    # ---- files ----

    def voters(self):
        """Returns the voters, always an odd number: three in each zone, or one if a zone has fewer than three entry VMs."""
        per_zone = 3 if len(self.entries) >= 9 else 1
        return [vm for vm in self.entries if int(vm["id"][7:]) <= per_zone]

    def write_settings(self):
        os.makedirs(self.folder, exist_ok=True)
        for name in ("vm", "operator"):
            path = os.path.join(self.folder, f"{name}.key")
            with open(path, "w", encoding="ascii") as file:
                os.chmod(path, 0o600)
                file.write(secrets.token_hex(32) + "\n")
        lines = ["ledger_retention_s = 3600", "", "[keys]", 'vm = "vm.key"', 'operator = "operator.key"']
        if self.timings:
            lines += ["", "[timings]"] + [f"{k} = {v}" for k, v in self.timings.items()]
        for kind, vms in (("control", self.controls), ("voter", self.voters())):
            for vm in vms:
                lines += [
                    "",
                    f"[[{kind}]]",
                    f'id = "{vm["id"]}"',
                    f'availability_zone = "{vm["zone"]}"',
                    f'peer = "{vm["peer"]}"',
                ]
        self._write("fleet.toml", lines)
        for vm in self.controls + self.entries:
            self.write_vm_settings(vm)

    def write_vm_settings(self, vm):
        lines = [
            f'id = "{vm["id"]}"',
            f'availability_zone = "{vm["zone"]}"',
            'fleet = "fleet.toml"',
        ]
        if vm in self.controls:
            lines.append(f'data_folder = "data/{vm["id"]}"')
        else:
            lines.append(f'trace_file = "{vm["id"]}.traces"')
        if "termination_grace_ms" in vm:
            lines.append(f'termination_grace_ms = {vm["termination_grace_ms"]}')
        lines += ["", "[listen]", f'peer = "{vm["peer"]}"']
        for name in ("caller", "backend", "platform"):
            if name in vm:
                lines.append(f'{name} = "{vm[name]}"')
        self._write(f'{vm["id"]}.toml', lines)

    def _write(self, name, lines):
        with open(os.path.join(self.folder, name), "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    # ---- processes ----

    def spawn(self, name, command):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.commands[name] = command
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, cwd=self.folder)
        log.close()

    def start_vm(self, vm):
        role = "control" if vm in self.controls else "entry"
        self.spawn(vm["id"], [self.binary, role, f'--settings={self.folder}/{vm["id"]}.toml'])

    def start(self):
        """Starts control and entry VMs and waits until the voters of the new fleet are counted."""
        self.write_settings()
        for vm in self.controls:
            subprocess.run(
                [self.binary, "control-init", f'--settings={self.folder}/{vm["id"]}.toml'], check=True
            )
            self.start_vm(vm)
        for vm in self.entries:
            self.start_vm(vm)
        self.wait(self._voters_count, 10, "the voters do not count")

    def _voters_count(self):
        return all("VoterRecovered" in self.log(vm["id"]) for vm in self.voters())

    def log(self, name):
        with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def add_backend(self, service, zone, slots=4, connections=350, latency_ms=5, state="ready", announce=None, advertise=None):
        number = len(self.backends) + 1
        backend = dict(id=f"{service}-{zone}{number}", service=service, zone=zone, address=self._address())
        targets = announce or [vm["backend"] for vm in self.entries if vm["zone"] == zone][:2]
        self.backends.append(backend)
        self.spawn(
            backend["id"],
            [
                self.standin,
                f'--address={backend["address"]}',
                f"--service={service}",
                f"--zone={zone}",
                f'--announce={",".join(targets)}',
                f"--slots={slots}",
                f"--connections={connections}",
                f"--latency-ms={latency_ms}",
                f"--state={state}",
            ]
            + ([f"--advertise={advertise}"] if advertise else []),
        )
        return backend

    def next_address(self):
        return self._address()

    def restart(self, name):
        self.spawn(name, self.commands[name])

    def kill(self, name, number=signal.SIGKILL):
        process = self.processes[name]
        process.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            process.wait(timeout=30)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.time() + 8
        for process in self.processes.values():
            try:
                process.wait(timeout=max(0.1, deadline - time.time()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # ---- operators ----

    def operate(self, *words, check=True):
        command = [self.binary, words[0], *words[1:]]
        if words[0] != "check":
            command.append(f"--fleet={self.fleet_file}")
        result = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
        if check and result.returncode != 0:
            raise RuntimeError(f"{' '.join(words)}: {result.returncode} {result.stdout}{result.stderr}")
        return result

    def grant(self, team):
        """Returns (key id, key)."""
        lines = self.operate("key", "grant", team).stdout.splitlines()
        values = dict(line.rsplit(" ", 1) for line in lines if line.startswith("key"))
        return values["key id"], values["key"]

    def status(self):
        return json.loads(self.operate("status", "--json").stdout)

    # ---- observations ----

    def healthy(self, vm):
        try:
            with urllib.request.urlopen(f'http://{vm["platform"]}/health', timeout=1) as answer:
                return answer.status == 200
        except (urllib.error.URLError, OSError):
            return False

    def metrics(self, vm):
        with urllib.request.urlopen(f'http://{vm["platform"]}/metrics', timeout=2) as answer:
            return answer.read().decode()

    def behave(self, backend, **behaviour):
        data = json.dumps(behaviour).encode()
        request = urllib.request.Request(f'http://{backend["address"]}/_behave', data=data)
        urllib.request.urlopen(request, timeout=2).read()

    def record(self, backend):
        with urllib.request.urlopen(f'http://{backend["address"]}/_record', timeout=5) as answer:
            return json.loads(answer.read())

    def wait(self, condition, seconds, what):
        deadline = time.time() + seconds
        while time.time() < deadline:
            if condition():
                return
            time.sleep(0.02)
        raise RuntimeError(what)

    def wait_healthy(self, seconds=10):
        self.wait(lambda: all(self.healthy(vm) for vm in self.entries), seconds, "not every VM is green")

    def wait_backends(self, service, count, seconds=10):
        def known():
            zones = [row for row in self.status()["services"] if row["service"] == service]
            return sum(row["available"] for row in zones) >= count

        self.wait(known, seconds, f"the backend servers of {service} are not known")


def call(address, method, path, key=None, body=None, headers=None, timeout=15):
    """Sends one request; returns (status, headers, body)."""
    request = urllib.request.Request(f"http://{address}{path}", data=body, method=method)
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def main():
    print("this module is used by scripts/quickstart and the tests", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
