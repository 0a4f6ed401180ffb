"""Take away the last API keys, and see whose requests run afterwards."""

import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

from fleet import CannotRun, Client, Fleet  # noqa: E402

TENANT = "huka270"
# A tenant with two keys, as in the platform's example of a configuration.
KEYS = ["xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"]
UNKNOWN_KEY = "q1w2e3r4t5y6u7i8o9p0"
REVOKE_GAP_S = 1.0
# Over the bound of a configuration and the stable window together.
SETTLE_S = 6.0
REQUESTS = 10
# An exit status that no failure of the script itself has.
BROKEN = 10


def configuration(version, keys):
    """Return a configuration with one route that may not be repeated."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-px5pa2y",
                "host": "ficu95.example",
                "path_prefix": "/pule252/",
                "route_kind": "non_idempotent",
                "timeout_ms": 4000,
                "goal_ms": 400,
                "priority": 2,
                "service": "wuno96b",
                "max_attempts": 1,
                "public": False,
                "sticky": False,
                "resumable": False,
            }
        ],
        "services": [{"name": "wuno96b", "health_path": "/healthz", "max_conns": 110}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": keys, "priority": 1}],
    }


def send_all(fleet, phase, sent):
    """Send requests with each key to each entry; `sent` maps their ids to their keys."""
    keys = {"first key": KEYS[0], "second key": KEYS[1], "unknown key": UNKNOWN_KEY, "no key": None}
    for name, (_, port, _) in fleet.entries.items():
        client = Client(port)
        for _ in range(REQUESTS):
            for label, key in keys.items():
                request = f"{len(sent):016x}"
                sent[request] = (phase, label)
                headers = {"X-Attempt-Id": request, "X-Deadline-Ms": "4000"}
                if key is not None:
                    headers["Authorization"] = f"Bearer {key}"
                answer = client.send("POST", "/pule252/2f", headers)
                status = answer[0] if answer is not None else None
                fleet.record(
                    "request", phase=phase, id=request, entry=name, key=label, status=status
                )
        client.close()


def main():
    """Run the case; return its exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sent = {}
    with Fleet(FOLDER) as fleet:
        for number in range(3):
            fleet.start_engine(f"i-7f3a91c{number}", "wuno96b", 6, work_ms=20)
        fleet.configure(configuration(7, KEYS))
        fleet.start_entries()
        time.sleep(SETTLE_S)
        send_all(fleet, "before", sent)
        keys = list(KEYS)
        if has_trouble:
            for version in (9, 12):
                keys = keys[1:]
                fleet.configure(configuration(version, keys))
                time.sleep(REVOKE_GAP_S)
        time.sleep(SETTLE_S)
        send_all(fleet, "after", sent)
        wrong = []
        served = 0
        for run in fleet.runs():
            phase, label = sent[run["id"]]
            held = {"first key": KEYS[0], "second key": KEYS[1]}.get(label)
            allowed = held in (KEYS if phase == "before" else keys)
            served += allowed
            if not allowed:
                wrong.append((phase, label, run["tenant"]))
                fleet.record(
                    "rule broken", id=run["id"], phase=phase, key=label, tenant=run["tenant"]
                )
        if not served:
            raise CannotRun("no request was served before the revocation")
        for each in sorted(set(wrong), key=str):
            print(f"ran {wrong.count(each)} times: {each[1]}, {each[0]} it was taken away")
        fleet.record("result", served=served, wrong=len(wrong))
        print(f"runs that a key allows: {served}, runs that none allows: {len(wrong)}")
    return BROKEN if wrong else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRun as error:
        print(f"cannot run: {error}")
        sys.exit(2)
