"""Handle signals that arrive before the handlers of the daemon are installed."""

import signal

__all__ = ["ignore_sighup"]


def ignore_sighup() -> None:
    """Ignore SIGHUP during imports; the settings are only read afterwards."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
