"""Layout of the claim logs, which every entry of a deployment must share."""

import threading
import time

from pydantic import BaseModel, ValidationError
from result import Err, Ok

from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.links.platform_client import PlatformClient, WriteConflict
from gooseberryquay.links.platform_messages import StoredObject

__all__ = ["ClaimLayout", "SharedLayout"]

LAYOUT_KEY = "claims/layout"
RETRY_INTERVAL_S = 0.2


class ClaimLayout(BaseModel):
    """Decide which log holds a key and for how long."""

    shard_count: int
    bucket_s: int
    horizon_s: float
    clock_skew_s: float


class SharedLayout:
    """Take the layout that the platform holds, and store the own one where it holds none.

    Two entries with different layouts would look for one key in two logs and run it twice.
    """

    def __init__(self, platform: PlatformClient, settings: PostingSettings) -> None:
        self._platform = platform
        self._own = settings
        self._lock = threading.Lock()
        self._is_started = False
        self._agreed: PostingSettings | None = None
        self._is_known = threading.Event()

    def start(self) -> None:
        """Ask the platform in the background until it answers."""
        with self._lock:
            if self._is_started:
                return
            self._is_started = True
        threading.Thread(target=self._run, daemon=True).start()

    def wait(self, deadline_at_s: float) -> PostingSettings | None:
        """Give the own settings with the shared layout, or None when the time is over."""
        if not self._is_known.is_set():
            self.start()
            self._is_known.wait(max(0.0, deadline_at_s - time.monotonic()))
        return self._agreed

    def _run(self) -> None:
        while (layout := self._ask()) is None:
            time.sleep(RETRY_INTERVAL_S)
        self._agreed = self._own.model_copy(update=layout.model_dump())
        self._is_known.set()

    def _ask(self) -> ClaimLayout | None:
        match self._platform.read(LAYOUT_KEY):
            case Ok(StoredObject() as stored):
                return _parse(stored)
            case Ok(_):
                return self._store_own()
            case _:
                return None

    def _store_own(self) -> ClaimLayout | None:
        own = ClaimLayout.model_validate(self._own.model_dump())
        match self._platform.write(LAYOUT_KEY, own.model_dump_json(), 0):
            case Ok(_):
                return own
            case Err(WriteConflict(current=StoredObject() as current)):
                return _parse(current)
            case _:
                return None


def _parse(stored: StoredObject) -> ClaimLayout | None:
    try:
        return ClaimLayout.model_validate_json(stored.value)
    except ValidationError:
        return None
