"""Run an entry on the node platform."""

import os
import signal
import sys
import threading
import time
from dataclasses import fields

from result import Err, Ok

from gooseberryquay.contracts.node_settings import NodeBounds, NodeSettings
from gooseberryquay.daemons.allocator import return_large_blocks
from gooseberryquay.daemons.platform_entry import PlatformEntry
from gooseberryquay.daemons.serving import SIGNAL_POLL_S
from gooseberryquay.platform.settings_file import SETTINGS_VARIABLE, read_settings
from gooseberryquay.reports.build import build_fields
from gooseberryquay.serving.decision_log import DecisionLog, set_up_decision_log

__all__ = ["run_platform_entry"]

LOG_FLUSH_S = 0.05


def run_platform_entry(path: str | None = None) -> None:
    """Serve callers until SIGTERM or SIGINT, then drain; exit with status 1 on invalid settings."""
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    settings_changed = threading.Event()
    # Installed before the settings are read, so that no change is missed.
    signal.signal(signal.SIGHUP, lambda *_: settings_changed.set())
    match read_settings(path):
        case Err(problem):
            print(problem, file=sys.stderr)
            sys.exit(1)
        case Ok(settings):
            _serve(settings, path, settings_changed)


def _serve(settings: NodeSettings, path: str, settings_changed: threading.Event) -> None:
    return_large_blocks()
    log = DecisionLog(set_up_decision_log(settings.id))
    log.lifecycle("process started", **build_fields())
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    try:
        entry = PlatformEntry(settings, log)
        entry.start()
    except OSError as error:
        print(f"{path}: cannot listen: {error}", file=sys.stderr, flush=True)
        os._exit(1)
    while not stopped.wait(SIGNAL_POLL_S):
        if settings_changed.is_set():
            settings_changed.clear()
            _reread_settings(path, settings, log)
    entry.drain()
    time.sleep(LOG_FLUSH_S)
    # Exits without joining threads that still wait on open connections.
    os._exit(0)


def _reread_settings(path: str, initial: NodeSettings, log: DecisionLog) -> None:
    """Log which settings have changed; changes take effect at the next start."""
    match read_settings(path):
        case Err(problem):
            log.lifecycle("settings not readable", detail=str(problem))
        case Ok(settings):
            log.lifecycle("settings read again", changed=_changed_names(initial, settings))


def _changed_names(initial: NodeSettings, current: NodeSettings) -> list[str]:
    names = [
        each.name
        for each in fields(NodeSettings)
        if each.name != "bounds" and getattr(initial, each.name) != getattr(current, each.name)
    ]
    bounds = [
        f"bounds.{each.name}"
        for each in fields(NodeBounds)
        if getattr(initial.bounds, each.name) != getattr(current.bounds, each.name)
    ]
    return names + bounds
