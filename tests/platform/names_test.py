#!/usr/bin/env python3
"""Checks that names of the platform's protocol and settings are used in platform/ and deploy/ only."""
import pathlib
import sys

PLATFORM_NAMES = [
    "heartbeatAddress", "coldRemainingMs", "seedNodes", "frontendAddress", "drainTimeoutMs",
    "DAISYHAVEN_NODE_FILE", "countsTowardTolerance", "ackTimeoutMs", "internalPortRange", "nodeName",
    "listenAddresses", "pathPrefix\"", "trafficSplit", "allowAnonymous", "apiKeys", "targetLatencyMs",
    "healthCheckPath", "X-Daisyhaven-Request-Deadline-Ms", "X-Daisyhaven-Not-Executed",
    "X-Daisyhaven-Expected-Instance", "X-Daisyhaven-Tenant-Id", "X-Daisyhaven-Request-Id",
    "/evacuation/", "/instances/", "/rollouts", "targetVersion", "durationS\"", "exposureShare", "rollbackMs",
]


def main():
    root = pathlib.Path(__file__).resolve().parents[2]
    violations = []
    files = [path for pattern in ("*.h", "*.cpp", "*.proto") for path in (root / "src").rglob(pattern)]
    for path in files:
        text = path.read_text()
        for name in PLATFORM_NAMES:
            if name in text:
                violations.append(f"{path.relative_to(root)}: {name}")
    line_count = sum(len(path.read_text().splitlines()) for path in (root / "platform").rglob("*.[ch]*"))
    if line_count >= 2500:
        violations.append(f"platform/ has {line_count} lines, the limit is 2500")
    print("\n".join(violations) if violations else f"{len(files)} files contain no name of the platform; "
          f"platform/ has {line_count} lines")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
