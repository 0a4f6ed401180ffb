"""Keep an entry's service-level counts in the platform, so that they outlive its run."""

import threading

from pydantic import ValidationError
from result import Err, Ok

from gooseberryquay.ids import EntryId
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.reports.level_ledger import LevelLedger
from gooseberryquay.reports.level_recorder import LevelRecorder

__all__ = ["LEDGER_PREFIX", "LevelStore", "read_stored_ledgers"]

LEDGER_PREFIX = "service-levels/"
SAVE_PERIOD_S = 600.0
LOAD_RETRY_S = 5.0


class LevelStore:
    """Take over the counts of the entry's former run, and save them from time to time.

    A run that is killed loses what it counted since it last saved.
    """

    def __init__(self, platform: PlatformClient, entry: EntryId, recorder: LevelRecorder) -> None:
        self._platform = platform
        self._key = LEDGER_PREFIX + entry
        self._recorder = recorder
        self._stopped = threading.Event()
        self._is_loaded = False

    def start(self) -> None:
        """Load and save in the background."""
        threading.Thread(target=self._run, name="level-store", daemon=True).start()

    def stop(self) -> None:
        """Save once more and end."""
        self._stopped.set()
        self._save()

    def _run(self) -> None:
        while not self._load():
            if self._stopped.wait(LOAD_RETRY_S):
                return
        while not self._stopped.wait(SAVE_PERIOD_S):
            self._save()

    def _load(self) -> bool:
        match self._platform.read(self._key):
            case Err(_):
                return False
            case Ok(stored):
                former = None if stored is None else _parse(stored.value)
        if former is not None:
            self._recorder.take_over(former)
        self._is_loaded = True
        return True

    def _save(self) -> None:
        # Saving before the former run's counts were taken over would lose them.
        if self._is_loaded:
            self._platform.write(self._key, self._recorder.ledger().model_dump_json())


def read_stored_ledgers(platform: PlatformClient) -> dict[EntryId, LevelLedger]:
    """Read the counts that entries have saved; none where the platform cannot be reached."""
    match platform.list(LEDGER_PREFIX):
        case Err(_):
            return {}
        case Ok(found):
            parsed = {each.key.removeprefix(LEDGER_PREFIX): _parse(each.value) for each in found}
    return {EntryId(entry): ledger for entry, ledger in parsed.items() if ledger is not None}


def _parse(value: str) -> LevelLedger | None:
    try:
        return LevelLedger.model_validate_json(value)
    except ValidationError:
        return None
