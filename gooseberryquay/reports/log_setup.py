"""Structured logging as JSON lines on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from gooseberryquay.contracts.settings import LogSettings
from gooseberryquay.ids import EntryId

__all__ = ["set_up_logs"]

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logs(settings: LogSettings, entry: EntryId) -> None:
    """Write every log record to standard error as one JSON object."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(FIELDS, static_fields={"entry": entry}))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.level)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
