"""Starts a local fleet with the example declarations and sends real requests through it."""

import argparse
import os
import signal
import sys
import time

from localfleet import ROOT, LocalFleet, call

DEPLOYMENTS = {
    "oyma": [("order-desk", "GET", "/status/tile-7", None), ("order-desk", "POST", "/commissions", b"one set, bone")],
    "frettchenschau": [("entry-service", "GET", "/lists/show-1", None), ("entry-service", "POST", "/entries", b"Flocke")],
}
SERVICES = {"oyma": ["order-desk", "photo-archive"], "frettchenschau": ["entry-service", "photo-store"]}


def show(title, result):
    status, headers, body = result
    print(f"{title}\n  {status} {body.decode(errors='replace').strip()}")
    return status, headers


def team_names(deployment):
    path = os.path.join(ROOT, "examples", deployment, "teams", "teams.toml")
    with open(path, encoding="utf-8") as file:
        return [line.split('"')[1] for line in file if line.startswith("name")]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="oyma")
    parser.add_argument("--keep", action="store_true", help="leave the fleet running")
    parser.add_argument("--folder", default=os.path.join(ROOT, "run", "quickstart"))
    options = parser.parse_args()
    folder = f"{options.folder}-{os.getpid()}"
    started = time.time()
    fleet = LocalFleet(folder, controls=3)
    good = True
    try:
        fleet.start()
        for service in SERVICES[options.deployment]:
            for zone in ("a", "b"):
                fleet.add_backend(service, zone)
        examples = os.path.join(ROOT, "examples", options.deployment)
        print(fleet.operate("publish", examples).stdout, end="")
        names = team_names(options.deployment)
        keys = {team: fleet.grant(team)[1] for team in (names if options.keep else names[:1])}
        fleet.wait_healthy()
        for service in SERVICES[options.deployment]:
            fleet.wait_backends(service, 2)
        print(f"fleet ready after {time.time() - started:.1f} s, files in {folder}")
        team, key = next(iter(keys.items()))
        for _, method, path, body in DEPLOYMENTS[options.deployment]:
            for vm in fleet.entries:
                title = f"{method} {path} as {team} through {vm['id']}"
                status, _ = show(title, call(vm["caller"], method, path, key, body))
                good = good and status == 200
        _, method, path, body = DEPLOYMENTS[options.deployment][0]
        status, headers = show(f"{method} {path} without a key", call(fleet.entries[0]["caller"], method, path))
        good = good and status == 401 and headers.get("X-Daisyhaven-Run") == "not-run"
        for backend in fleet.backends:
            good = good and not any(run["saw_key"] for run in fleet.record(backend)["runs"])
        print("no backend server saw a key" if good else "SOMETHING WENT WRONG, see the logs")
        if options.keep and good:
            keep(fleet, keys)
            return 0
    finally:
        if not (options.keep and good):
            fleet.stop()
    return 0 if good else 1


def keep(fleet, keys):
    for vm in fleet.entries:
        print(f"{vm['id']}: callers {vm['caller']}, backend servers {vm['backend']}, health and metrics {vm['platform']}")
    for team, key in keys.items():
        print(f"key of {team}: {key}")
    print(f"data folder: {fleet.folder}/data")
    print(f"operators: {fleet.binary} status --fleet={fleet.fleet_file}")
    pids = " ".join(str(process.pid) for process in fleet.processes.values())
    print(f"stop it with: kill {pids}")


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    sys.exit(main())
