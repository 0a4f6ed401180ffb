"""Signals that come before their handlers are there."""

import signal

__all__ = ["ignore_reload"]


def ignore_reload() -> None:
    """Bear SIGHUP while modules are loaded; the settings are read after that in any case."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
