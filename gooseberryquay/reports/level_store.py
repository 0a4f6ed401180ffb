"""Store the service level counts of an entry in the platform to keep them across restarts."""

import threading

from pydantic import ValidationError
from result import Err, Ok

from gooseberryquay.ids import EntryId
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.reports.level_ledger import ServiceLevelLedger
from gooseberryquay.reports.level_recorder import ServiceLevelRecorder

__all__ = ["LEDGER_PREFIX", "ServiceLevelStore", "read_stored_ledgers"]

LEDGER_PREFIX = "service-levels/"
SAVE_PERIOD_S = 600.0
LOAD_RETRY_S = 5.0


class ServiceLevelStore:
    """Load the counts of the entry's previous process and save them periodically.

    A killed process loses the counts since its last save.
    """

    def __init__(
        self, platform: PlatformClient, entry: EntryId, recorder: ServiceLevelRecorder
    ) -> None:
        self._platform = platform
        self._key = LEDGER_PREFIX + entry
        self._recorder = recorder
        self._stopped = threading.Event()
        self._is_loaded = False

    def start(self) -> None:
        """Start loading and saving in the background."""
        threading.Thread(target=self._run, name="level-store", daemon=True).start()

    def stop(self) -> None:
        """Save once more and stop."""
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
                previous = None if stored is None else _parse(stored.value)
        if previous is not None:
            self._recorder.add_previous_counts(previous)
        self._is_loaded = True
        return True

    def _save(self) -> None:
        # Saving before the counts of the previous process are loaded would overwrite them.
        if self._is_loaded:
            self._platform.write(self._key, self._recorder.ledger().model_dump_json())


def read_stored_ledgers(platform: PlatformClient) -> dict[EntryId, ServiceLevelLedger]:
    """Read the counts that entries have saved; none if the platform cannot be reached."""
    match platform.list(LEDGER_PREFIX):
        case Err(_):
            return {}
        case Ok(found):
            parsed = {each.key.removeprefix(LEDGER_PREFIX): _parse(each.value) for each in found}
    return {EntryId(entry): ledger for entry, ledger in parsed.items() if ledger is not None}


def _parse(value: str) -> ServiceLevelLedger | None:
    try:
        return ServiceLevelLedger.model_validate_json(value)
    except ValidationError:
        return None
