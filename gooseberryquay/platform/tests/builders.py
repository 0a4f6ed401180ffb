"""Sample documents of the platform."""

from gooseberryquay.serving.object_source import StoredObject

SETTINGS = """\
node_name=edge-a-1
zone=zone-a
listen.frontend=10.1.0.19:8740
listen.readiness=10.1.0.19:8749
listen.control_plane=10.1.0.19:8748
port_range=7200,7215
seeds=10.1.0.19:8748,10.2.0.13:8748,10.3.0.15:8748
bounds.drain_ms=2000
bounds.grace_s=8
bounds.retry_ratio=0.2
platform.address=10.200.1.7:8742
"""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "quick",
            "host": "a.example",
            "path_prefix": "/quick/",
            "route_kind": "streaming",
            "timeout_ms": 6000,
            "goal_ms": 1500,
            "priority": 0,
            "service": "model",
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_target_ms": 180,
        },
        {
            "name": "long",
            "host": "a.example",
            "path_prefix": "/long/",
            "route_kind": "streaming",
            "timeout_ms": 39000,
            "goal_ms": 1800,
            "priority": 1,
            "split": [{"service": "model", "weight": 90}, {"service": "ledger", "weight": 10}],
            "max_attempts": 1,
            "resumable": False,
        },
    ],
    "services": [
        {
            "name": "model",
            "health_path": "/healthz",
            "max_conns": 222,
            "cold_s": 1.0,
            "cold_per_s": 26.0,
            "engine": {
                "slots": 24,
                "kv_capacity": 34196,
                "kv_bytes": 163840,
                "link_mbps": 24000.0,
                "moves": True,
                "backups": True,
                "stride": 4,
                "handle_s": 5.0,
                "models": [{"name": "m"}],
            },
        },
        {"name": "ledger", "health_path": "/healthz", "max_conns": 96},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "studio", "api_keys": ["key-a", "key-b"], "priority": 1}],
}

SERVER = {
    "service": "model",
    "address": "10.128.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "cold_left_ms": 1500,
    "sequence": 4,
    "born": 1700000000000,
}


def stored(content, name="main"):
    return StoredObject(name, 1, content, False)
