"""Run an entry on the users' platform."""

import os
import signal
import sys
import threading
import time

from result import Err, Ok

from gooseberryquay.contracts.node_settings import NodeSettings
from gooseberryquay.daemons.platform_entry import PlatformEntry
from gooseberryquay.platform.settings_file import SETTINGS_VARIABLE, read_settings
from gooseberryquay.serving.decision_log import DecisionLog, set_up_decision_log

__all__ = ["run_platform_entry"]

LOG_FLUSH_S = 0.05


def run_platform_entry(path: str | None = None) -> None:
    """Serve callers until SIGTERM, then drain."""
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    match read_settings(path):
        case Err(problem):
            print(problem, file=sys.stderr)
            sys.exit(1)
        case Ok(settings):
            _serve(settings, path)


def _serve(settings: NodeSettings, path: str) -> None:
    log = DecisionLog(set_up_decision_log(settings.id))
    stopped = threading.Event()
    reloaded = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    signal.signal(signal.SIGHUP, lambda *_: reloaded.set())
    entry = PlatformEntry(settings, log)
    entry.start()
    while not stopped.wait(0.5):
        if reloaded.is_set():
            reloaded.clear()
            _reload(path, log)
    entry.drain()
    time.sleep(LOG_FLUSH_S)
    # Threads that still wait on open connections must not delay the exit.
    os._exit(0)


def _reload(path: str, log: DecisionLog) -> None:
    match read_settings(path):
        case Err(problem):
            log.lifecycle("reload failed", detail=str(problem))
        case Ok(_):
            log.lifecycle("reloaded")
