"""Layout of the claim logs, which all entries of a deployment must share."""

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
    """Determine which log holds a key, and for how long."""

    shard_count: int
    bucket_s: int
    horizon_s: float
    clock_skew_s: float


class SharedLayout:
    """Load the layout from the platform, or store the local one if the platform has none.

    Entries with different layouts would look up the same key in different logs and run it twice.
    """

    def __init__(self, platform: PlatformClient, settings: PostingSettings) -> None:
        self._platform = platform
        self._local_settings = settings
        self._lock = threading.Lock()
        self._is_started = False
        self._shared_settings: PostingSettings | None = None
        self._is_known = threading.Event()

    def start(self) -> None:
        """Load the layout in the background, retrying until the platform responds."""
        with self._lock:
            if self._is_started:
                return
            self._is_started = True
        threading.Thread(target=self._run, daemon=True).start()

    def wait(self, deadline_at_s: float) -> PostingSettings | None:
        """Return the local settings with the shared layout, or None if the deadline passes."""
        if not self._is_known.is_set():
            self.start()
            self._is_known.wait(max(0.0, deadline_at_s - time.monotonic()))
        return self._shared_settings

    def _run(self) -> None:
        while (layout := self._load()) is None:
            time.sleep(RETRY_INTERVAL_S)
        self._shared_settings = self._local_settings.model_copy(update=layout.model_dump())
        self._is_known.set()

    def _load(self) -> ClaimLayout | None:
        match self._platform.read(LAYOUT_KEY):
            case Ok(StoredObject() as stored):
                return _parse(stored)
            case Ok(_):
                return self._store_local()
            case _:
                return None

    def _store_local(self) -> ClaimLayout | None:
        local = ClaimLayout.model_validate(self._local_settings.model_dump())
        match self._platform.write(LAYOUT_KEY, local.model_dump_json(), 0):
            case Ok(_):
                return local
            case Err(WriteConflict(current=StoredObject() as current)):
                return _parse(current)
            case _:
                return None


def _parse(stored: StoredObject) -> ClaimLayout | None:
    try:
        return ClaimLayout.model_validate_json(stored.value)
    except ValidationError:
        return None
