"""Faults of bytes: long records of another writer, and answers without end."""

import json
import random
from collections.abc import Callable

from gooseberryquay.standins.node_platform.site import Site

__all__ = ["MEMORY_MB_MAX", "OddBytes"]

# `limits.memory_mb` of the deployments.
MEMORY_MB_MAX = 150.0
FAULT_SHARE = 0.3
KINDS = ("servers", "evacuations", "streams")
LONG_TEXTS = (
    '"' + "n" * 1_000_000 + '"',
    "[" + "1," * 499_999 + "1]",
    "[" + "{}," * 333_332 + "{}]",
    "[" * 400_000 + "]" * 400_000,
)
ODD_NUMBERS = ("0", "1" * 6000, "1e999")
# Without the end of an event, with an end of an event in each few bytes, and with none of either.
PIECES = (b"x" * 1400, b"\n\n" * 700, b"\r\n\r" * 460)


class OddBytes:
    """Inject faults with random draws of their own.

    `schedule` runs an action after a time in seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        site: Site,
        schedule: Callable[[float, Callable[[], object]], None],
    ) -> None:
        self._rng = rng
        self._site = site
        self._schedule = schedule
        self._count = 0

    def inject(self) -> str | None:
        """Inject a fault and return its name, or None if none was drawn."""
        if self._rng.random() >= FAULT_SHARE:
            return None
        fault = self._rng.choice([self._leave_long_record, self._send_without_end])
        return f"{fault.__name__.strip('_')}{fault()}"

    def heal(self) -> None:
        """Let all engines end their answers; records stay."""
        for each in list(self._site.engines.values()):
            each.endless_piece = None

    def _leave_long_record(self) -> str:
        kind = self._rng.choice(KINDS)
        self._count += 1
        name = f"odd-{self._count}"
        record = {"service": "ledger", "address": "127.0.0.1:9", "zone": "zone-a", "state": "ready"}
        text = json.dumps({**record, "slots": "number", "note": "long"})
        text = text.replace('"number"', self._rng.choice(ODD_NUMBERS))
        text = text.replace('"long"', self._rng.choice(LONG_TEXTS))
        self._site.store.put_text(kind, name, text)
        self._schedule(self._rng.uniform(1.0, 4.0), lambda: self._site.store.delete(kind, name))
        return f"({kind})"

    def _send_without_end(self) -> str:
        engines = list(self._site.engines.values())
        if not engines:
            return ""
        engine = self._rng.choice(engines)
        engine.endless_piece = self._rng.choice(PIECES)

        def end() -> None:
            engine.endless_piece = None

        self._schedule(self._rng.uniform(0.5, 2.0), end)
        return f"({engine.id})"
