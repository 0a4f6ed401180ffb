"""Call to a plain service, retried with the same idempotency key if its response is lost."""

import http.client
import json

from gooseberryquay.standins.load.arrivals import Arrival, CallKind, LoadPlan
from gooseberryquay.standins.load.call import Call
from gooseberryquay.standins.load.outcome import CallEnd, CallOutcome
from gooseberryquay.standins.load.run_clock import RunClock
from gooseberryquay.standins.load.sender import CallFailure, Sender

__all__ = ["PlainCall"]

MAX_RETRIES = 2
HTTP_OK = 200


class PlainCall(Call):
    """Post or look up one record."""

    def __init__(
        self,
        plan: LoadPlan,
        arrival: Arrival,
        sender: Sender,
        clock: RunClock,
        key: str,
    ) -> None:
        super().__init__(plan, arrival, sender, clock)
        self._key = key

    def run(self) -> CallOutcome:
        """Send the call, and retry it on another entry after a connection failure."""
        outcome = self.outcome
        outcome.started_at_s = self._clock.elapsed_s()
        for attempt in range(MAX_RETRIES + 1):
            outcome.retries = attempt
            try:
                self._send(attempt)
            except CallFailure as error:
                outcome.failure = type(error).__name__
            if outcome.end is not CallEnd.BROKEN:
                break
        outcome.finished_at_s = self._clock.elapsed_s()
        return outcome

    def _send(self, attempt: int) -> None:
        rotation = self._arrival.number + attempt
        with self._sender.send(self._path(), self._body(), self._headers(), rotation) as response:
            if response.status == HTTP_OK:
                self._read(response)
            else:
                self._record_refusal(response)

    def _read(self, response: http.client.HTTPResponse) -> None:
        document = json.loads(response.read())
        self.outcome.end = CallEnd.ANSWERED
        self.outcome.failure = ""
        self.outcome.is_wrong_answer = document.get("reference") != self._key

    def _path(self) -> str:
        is_posting = self._arrival.kind is CallKind.POSTING
        operation = self._plan.posting_operation if is_posting else self._plan.lookup_operation
        return f"/services/{self._plan.plain_service}/{operation}"

    def _body(self) -> bytes:
        return json.dumps({"reference": self._key}).encode()

    def _headers(self) -> dict[str, str]:
        headers = {
            "Content-Type": "application/json",
            "X-Workspace": self._arrival.workspace,
            "X-Work-Kind": self._arrival.kind.value,
            "X-Deadline-Ms": str(int(self._plan.plain_deadline_s * 1000)),
        }
        if self._arrival.kind is CallKind.POSTING:
            headers["Idempotency-Key"] = self._key
        return headers
