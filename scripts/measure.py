"""Measures control: time to in force, a key's end, fail-over, restart, traffic of an idle VM."""

import os
import re
import signal
import sys
import time

from localfleet import ROOT, LocalFleet, call


def percentile(values, fraction):
    values = sorted(values)
    return values[int(fraction * (len(values) - 1))]


def spread(name, values, unit="ms"):
    print(f"{name}: p50 {percentile(values, 0.5):.0f} p99 {percentile(values, 0.99):.0f} max {max(values):.0f} {unit}, {len(values)} times", flush=True)


def traffic(fleet, vm):
    values = dict(line.rsplit(" ", 1) for line in fleet.metrics(vm).splitlines() if line.startswith("daisyhaven_peer"))
    sent = float(values["daisyhaven_peer_bytes_sent"]) + float(values["daisyhaven_peer_bytes_received"])
    calls = sum(float(v) for k, v in values.items() if k.startswith("daisyhaven_peer_calls"))
    with open(f"/proc/{fleet.processes[vm['id']].pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    cpu = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return sent, calls, cpu


def main():
    fleet = LocalFleet(os.path.join(ROOT, "run", f"measure-{os.getpid()}"), port=28000, controls=3, entries_per_zone=4)
    try:
        fleet.start()
        for zone in ("a", "b", "c"):
            fleet.add_backend("order-desk", zone)
        fleet.operate("publish", os.path.join(ROOT, "examples", "oyma"))
        key = fleet.grant("collectors")[1]
        fleet.wait_healthy()
        time.sleep(4)

        before = {vm["id"]: traffic(fleet, vm) for vm in fleet.entries}
        time.sleep(10)
        for kind, vms in (("voter", fleet.voters()), ("other", [v for v in fleet.entries if v not in fleet.voters()])):
            rows = [[b - a for a, b in zip(before[vm["id"]], traffic(fleet, vm))] for vm in vms]
            mean = [sum(column) / len(column) / 10 for column in zip(*rows)]
            print(f"idle {kind} VM: {mean[0] / 1000:.2f} KB/s, {mean[1]:.1f} calls/s, {100 * mean[2]:.2f}% of a core, {len(vms)} of {len(fleet.entries)} VMs", flush=True)

        accepted, in_force = [], []
        for i in range(40):
            out = fleet.operate("vm", "in", "entry-a1").stdout
            accepted.append(int(re.search(r"accepted after (\d+)", out)[1]))
            in_force.append(int(re.search(r"everywhere after (\d+)", out)[1]))
        spread("accepted", accepted)
        spread("in force on 12 VMs", in_force)

        ends = []
        for _ in range(10):
            key_id, doomed = fleet.grant("auditor")
            began = time.time()
            process_done = fleet.operate("key", "withdraw", key_id)
            del process_done
            last = began
            for vm in fleet.entries:
                while call(vm["caller"], "GET", "/status/x", doomed)[0] == 200:
                    last = time.time()
            ends.append(1000 * (time.time() - began))
        spread("a key refused by every VM after its withdrawal was asked", ends)

        overs = []
        for _ in range(5):
            leader = fleet.status()["leader"]
            began = time.time()
            fleet.kill(leader, signal.SIGKILL)
            fleet.operate("vm", "in", "entry-a1")
            overs.append(1000 * (time.time() - began))
            fleet.restart(leader)
            time.sleep(1.5)
        spread("a write after the leader's death, until in force", overs)

        while fleet.status()["version"] < 510:
            for _ in range(20):
                fleet.operate("vm", "in", "entry-a1", "--no-wait")
        vm = fleet.controls[0]
        version = fleet.status()["version"]
        fleet.kill(vm["id"], signal.SIGKILL)
        began = time.time()
        fleet.restart(vm["id"])
        fleet.wait(lambda: fleet.log(vm["id"]).count("ProcessStarted") >= 2, 5, "not started")
        print(f"a control VM restarted after {version} changes serves after {1000 * (time.time() - began):.0f} ms", flush=True)

        status, _, _ = call(fleet.entries[0]["caller"], "GET", "/status/x", key)
        print(f"a request at the end: {status}", flush=True)
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
