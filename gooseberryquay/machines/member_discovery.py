"""Finding entries that are not yet known, through seeds and the platform's list."""

import random

from gooseberryquay.contracts.fields import Address
from gooseberryquay.machines.member_directory import MemberDirectory
from gooseberryquay.machines.member_exchange import MemberExchange
from gooseberryquay.machines.member_table import MemberTable

__all__ = ["MemberSeeds"]

MAX_JOIN_ATTEMPTS = 8


class MemberSeeds:
    """Contact entries that the settings or the platform name and that are not known."""

    def __init__(
        self,
        seeds: tuple[Address, ...],
        directory: MemberDirectory,
        table: MemberTable,
        exchange: MemberExchange,
        rng: random.Random,
    ) -> None:
        self._seeds = seeds
        self._directory = directory
        self._table = table
        self._exchange = exchange
        self._rng = rng

    def join(self) -> None:
        """Find out about a former run of this entry, then join through any entry that answers."""
        for address in self._missing()[:MAX_JOIN_ATTEMPTS]:
            if self._exchange.probe(address, None) is None:
                continue
            if self._exchange.pull(address):
                return

    def contact_missing(self) -> None:
        """Contact one named entry that is not known; with no other known, read its list too."""
        missing = self._missing()
        if not missing:
            return
        address = missing[0]
        was_alone = not self._table.present()
        if self._exchange.probe(address, None) is not None and was_alone:
            self._exchange.pull(address)

    def _missing(self) -> list[Address]:
        known = {self._table.this_entry.control_address}
        known.update(each.control_address for each in self._table.present())
        named = set(self._seeds) | set(self._directory.addresses())
        missing = sorted(named - known)
        self._rng.shuffle(missing)
        return missing
