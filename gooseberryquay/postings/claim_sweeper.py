"""Garbage collection of claim logs whose keys are all older than the horizon."""

import threading
import time

from pydantic import ValidationError
from result import Ok

from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.links.platform_messages import StoredObject
from gooseberryquay.machines.peer import Peers
from gooseberryquay.postings.claim_layout import SharedLayout
from gooseberryquay.postings.posting import timed_log
from gooseberryquay.postings.records import LogObject
from gooseberryquay.postings.sharded_claim_registry import choose_owner

__all__ = ["ClaimSweeper"]

INITIAL_LOOKBACK_S = 2 * 3600
PAUSE_BETWEEN_LOGS_S = 0.02
SWEEP_INTERVAL_S = 60.0
SKEW_MARGINS = 2


class ClaimSweeper:
    """Delete expired logs of the shards that this entry owns, each once.

    A key is refused as too old before its log can be deleted, so that no key can be claimed again.
    """

    def __init__(
        self,
        platform: PlatformClient,
        peers: Peers,
        layout: SharedLayout,
        pause_s: float = PAUSE_BETWEEN_LOGS_S,
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._layout = layout
        self._pause_s = pause_s
        self._stopped = threading.Event()
        self._next_bucket: dict[int, int] = {}

    def start(self) -> None:
        """Start sweeping in the background."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop sweeping."""
        self._stopped.set()

    def sweep(self, now_s: float) -> int:
        """Delete the logs that are expired at a Unix time; return the number of deleted objects."""
        settings = self._layout.wait(time.monotonic())
        if settings is None:
            return 0
        deleted = 0
        live = self._peers.live()
        for shard in range(settings.shard_count):
            owner = choose_owner(shard, live)
            if owner is not None and owner.id == self._peers.this_entry().id:
                deleted += self._sweep_shard(shard, now_s, settings)
        return deleted

    def _run(self) -> None:
        while not self._stopped.wait(SWEEP_INTERVAL_S):
            self.sweep(time.time())

    def _sweep_shard(self, shard: int, now_s: float, settings: PostingSettings) -> int:
        bucket_s = settings.bucket_s
        kept_s = settings.horizon_s + SKEW_MARGINS * settings.clock_skew_s
        end = int((now_s - kept_s) // bucket_s)
        first = self._next_bucket.get(shard, end - INITIAL_LOOKBACK_S // bucket_s)
        deleted = 0
        for bucket in range(first, end):
            removed = self._delete_log(f"claims/{timed_log(bucket, shard)}")
            if removed is None:
                return deleted
            deleted += removed
            self._next_bucket[shard] = bucket + 1
            self._stopped.wait(self._pause_s)
        return deleted

    def _delete_log(self, prefix: str) -> int | None:
        """Delete a log and return the number of its objects, or None on failure.

        The head goes last, so that a later sweep can resume an interrupted deletion.
        """
        chain: list[StoredObject] = []
        key = f"{prefix}/head"
        while key:
            match self._platform.read(key):
                case Ok(None):
                    break
                case Ok(StoredObject() as stored):
                    chain.append(stored)
                    key = _previous_key(prefix, stored)
                case _:
                    return None
        for stored in reversed(chain):
            if self._platform.delete(stored.key, stored.version).is_err():
                return None
        return len(chain)


def _previous_key(prefix: str, stored: StoredObject) -> str:
    try:
        version = LogObject.model_validate_json(stored.value).previous_version
    except ValidationError:
        return ""
    return f"{prefix}/segment-{version}" if version else ""
