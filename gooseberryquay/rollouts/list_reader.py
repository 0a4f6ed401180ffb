"""Read the orders of roll-outs from the store."""

from collections.abc import Callable

from gooseberryquay.ids import ServiceId
from gooseberryquay.rollouts.book import RolloutBook
from gooseberryquay.rollouts.order import RolloutRecord
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.object_source import Listing, StoredObject

__all__ = ["RolloutListReader"]


class RolloutListReader:
    """Apply the orders to the book; a malformed record defines none."""

    def __init__(
        self,
        book: RolloutBook,
        decode: Callable[[StoredObject], RolloutRecord | None],
        log: DecisionLog,
    ) -> None:
        self._book = book
        self._decode = decode
        self._log = log

    def read_listing(self, listing: Listing, is_after_outage: bool) -> None:
        """Replace all orders."""
        found = [self._read(each) for each in listing.objects]
        records = [each for each in found if each is not None]
        self._book.apply_listing(records, listing.store_revision)

    def read_change(self, changed: StoredObject, is_after_outage: bool) -> None:
        """Apply one order that was written or deleted."""
        record = None if changed.is_deleted else self._read(changed)
        if record is not None:
            self._book.apply(record)
        else:
            self._book.withdraw(ServiceId(changed.name), changed.revision)

    def _read(self, stored: StoredObject) -> RolloutRecord | None:
        record = self._decode(stored)
        if record is None:
            self._log.belief("rollout malformed", service=stored.name, revision=stored.revision)
        return record
