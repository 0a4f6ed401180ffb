"""Discovery of unknown entries through seeds and the platform's instance list."""

import random

from gooseberryquay.contracts.fields import Address
from gooseberryquay.machines.member_directory import MemberDirectory
from gooseberryquay.machines.member_exchange import MemberExchange
from gooseberryquay.machines.member_table import MemberTable

__all__ = ["MemberSeeds"]

MAX_JOIN_ATTEMPTS = 8


class MemberSeeds:
    """Contact unknown entries that are configured as seeds or listed by the platform."""

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
        """Find a previous incarnation of this entry, and join through any entry that responds."""
        for address in self._unknown_addresses()[:MAX_JOIN_ATTEMPTS]:
            if self._exchange.probe(address, None) is None:
                continue
            if self._exchange.pull(address):
                return

    def contact_unknown(self) -> None:
        """Contact one unknown entry; if no other is known, pull its member list too."""
        unknown = self._unknown_addresses()
        if not unknown:
            return
        address = unknown[0]
        was_alone = not self._table.present()
        if self._exchange.probe(address, None) is not None and was_alone:
            self._exchange.pull(address)

    def _unknown_addresses(self) -> list[Address]:
        known = {self._table.this_entry.control_address}
        known.update(each.control_address for each in self._table.present())
        candidates = set(self._seeds) | set(self._directory.addresses())
        unknown = sorted(candidates - known)
        self._rng.shuffle(unknown)
        return unknown
