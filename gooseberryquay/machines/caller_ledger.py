"""Decide how much callers may have in flight at once, and whom to end when that is used up.

The load is that of callers whom nobody controls: many large bodies, bodies and heads that stop
short of their end, responses that are not read, and masses of connections.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "CallerBounds",
    "CallerLedger",
    "CallerLimit",
    "Exchange",
    "Phase",
    "Use",
    "choose_stalled",
    "overdue_limit",
]

BYTES_PER_MB = 1024 * 1024
# Resident memory of a thread with its touched stack, a head and a small body. 400 open heads of
# 6 KB took 42 KB each, connections included.
THREAD_BYTES = 48 * 1024
CONNECTION_BYTES = 16 * 1024
# A body up to this size counts as part of its thread.
UNCOUNTED_BYTES = 8 * 1024
SMALL_BODY_BYTES = 64 * 1024
THREAD_SHARE = 0.25
CONNECTION_SHARE = 0.12
# Kept free by responses for requests, once more by large bodies for both, and half of it by small
# bodies for the connections and threads of others.
RESERVE_SHARE = 0.04
# So that one body of legal size has room however small the instance is.
TOTAL_BYTES_MIN = 16 * BYTES_PER_MB
LARGE_BODIES_MIN = 2 * 4 * BYTES_PER_MB
# Part of the memory for large bodies that one address may take beside others at any time.
CONTENDED_SHARE = 0.5
# While others wait for room, a caller that lets its own bytes wait for so long is ended.
STALL_S = 1.0
WRITE_STALL_MAX_S = 30.0
THREADS_MIN = 32
CONNECTIONS_MIN = 64


class CallerLimit(Enum):
    """Name the limits that end or refuse what a caller sends."""

    MEMORY = "memory"
    THREADS = "threads"
    DESCRIPTORS = "descriptors"
    FRAMING = "framing"
    HEAD_TIME = "head_time"
    BODY_RATE = "body_rate"
    RESPONSE_TIME = "response_time"


class Phase(Enum):
    """State whose turn it is in an exchange: the caller's, except in the last two phases."""

    HEAD = "head"
    BODY = "body"
    RESPONSE = "response"
    ROOM = "room"
    SERVING = "serving"


class Use(Enum):
    """State what memory is for."""

    CONNECTION = "connection"
    THREAD = "thread"
    SMALL_BODY = "small body"
    LARGE_BODY = "large body"
    # Responses, and what is carried for peers.
    RESPONSE = "response"


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """Bound what all callers of one instance have in flight together."""

    memory_mb: float
    memory_share: float = 0.4
    body_bytes_per_s_min: float = 1024.0
    body_grace_s: float = 20.0
    head_s_max: float = 6.0

    @property
    def total_bytes(self) -> int:
        """Return the memory for everything that callers have in flight."""
        return max(TOTAL_BYTES_MIN, self._bytes(self.memory_share))

    @property
    def threads_max(self) -> int:
        """Return how many requests may be open."""
        return max(THREADS_MIN, self._bytes(THREAD_SHARE) // THREAD_BYTES)

    @property
    def connections_max(self) -> int:
        """Return how many connections may be open, unless descriptors are fewer."""
        return max(CONNECTIONS_MIN, self._bytes(CONNECTION_SHARE) // CONNECTION_BYTES)

    def ceiling(self, use: Use) -> int:
        """Return how much may be in use, for all purposes, after memory was taken for one."""
        reserve = self._bytes(RESERVE_SHARE)
        match use:
            case Use.LARGE_BODY:
                return max(LARGE_BODIES_MIN, self.total_bytes - 2 * reserve)
            case Use.RESPONSE:
                return max(LARGE_BODIES_MIN, self.total_bytes - reserve)
            case Use.SMALL_BODY:
                return self.total_bytes - reserve // 2
            case Use.CONNECTION | Use.THREAD:
                return self.total_bytes

    def _bytes(self, share: float) -> int:
        return int(share * self.memory_mb * BYTES_PER_MB)


@dataclass(eq=False, slots=True)
class Exchange:
    """Track one request of a caller and its response; times are on the monotonic clock."""

    address: str
    # What carries out the end; not used here.
    connection: object
    since_s: float
    phase: Phase = Phase.HEAD
    progress_at_s: float = 0.0
    received_bytes: int = 0
    held_bytes: int = 0
    ended_by: CallerLimit | None = None

    def enter(self, phase: Phase, now_s: float) -> None:
        """Record that another phase has begun."""
        self.phase = phase
        self.since_s = self.progress_at_s = now_s

    def postpone(self, passed_s: float) -> None:
        """Leave out time in which the caller's bytes were not read."""
        self.since_s += passed_s
        self.progress_at_s += passed_s


class CallerLedger:
    """Count the memory in use, in all and by caller address."""

    def __init__(self, bounds: CallerBounds) -> None:
        self.bounds = bounds
        self.used_bytes = 0
        self._held: Counter[str] = Counter()

    def take(self, address: str, count: int, use: Use) -> bool:
        """Take memory for an address if it has room; return whether it has."""
        if self.used_bytes + count > self.bounds.ceiling(use):
            return False
        if use is Use.LARGE_BODY and self._is_over_share(address, count):
            return False
        self.used_bytes += count
        if use in {Use.LARGE_BODY, Use.SMALL_BODY}:
            self._held[address] += count
        return True

    def give_back(self, address: str, count: int, use: Use) -> None:
        """Return memory that was taken."""
        self.used_bytes -= count
        if use in {Use.LARGE_BODY, Use.SMALL_BODY}:
            self._held[address] -= count
            if self._held[address] <= 0:
                del self._held[address]

    def held_by(self, address: str) -> int:
        """Return the memory of the bodies of an address."""
        return self._held.get(address, 0)

    def _is_over_share(self, address: str, count: int) -> bool:
        """Return whether an address would take, beside others, more than an even part."""
        others = len(self._held.keys() - {address})
        ceiling = self.bounds.ceiling(Use.LARGE_BODY)
        if not others or self.used_bytes + count <= CONTENDED_SHARE * ceiling:
            return False
        return self.held_by(address) + count > ceiling / (others + 1)


def overdue_limit(exchange: Exchange, now_s: float, bounds: CallerBounds) -> CallerLimit | None:
    """Return the limit of time that a caller has exceeded, also without contention."""
    passed_s = now_s - exchange.since_s
    match exchange.phase:
        case Phase.HEAD if passed_s > bounds.head_s_max:
            return CallerLimit.HEAD_TIME
        case Phase.BODY if passed_s > bounds.body_grace_s:
            due = bounds.body_bytes_per_s_min * (passed_s - bounds.body_grace_s)
            return CallerLimit.BODY_RATE if exchange.received_bytes < due else None
        case Phase.RESPONSE if passed_s > WRITE_STALL_MAX_S:
            return CallerLimit.RESPONSE_TIME
        case _:
            return None


def choose_stalled(
    exchanges: Iterable[Exchange], now_s: float, ledger: CallerLedger
) -> list[Exchange]:
    """Return whom to end while others wait, those first that hold most and have stalled longest.

    Only callers are ended that have neither sent nor read anything for a while.
    """
    stalled = [
        each
        for each in exchanges
        if each.ended_by is None
        and each.phase in {Phase.HEAD, Phase.BODY, Phase.RESPONSE}
        and now_s - each.progress_at_s > STALL_S
    ]
    counts = Counter(each.address for each in stalled)
    stalled.sort(
        key=lambda each: (
            -ledger.held_by(each.address),
            -counts[each.address],
            each.progress_at_s,
        )
    )
    return stalled
