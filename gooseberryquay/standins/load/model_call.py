"""Streaming call to a model service, resumed after its stream is interrupted."""

import http.client
import json
import time

from gooseberryquay.standins.load.arrivals import Arrival, LoadPlan
from gooseberryquay.standins.load.call import Call
from gooseberryquay.standins.load.outcome import CallEnd, CallOutcome
from gooseberryquay.standins.load.refusal import read_refusal
from gooseberryquay.standins.load.run_clock import RunClock
from gooseberryquay.standins.load.sender import CallFailure, Sender
from gooseberryquay.standins.load.stream_check import StreamCheck

__all__ = ["ModelCall"]

PATH = "/v1/completions"
READ_BYTES = 64 * 1024
MAX_RESUMES = 8
RESUME_PAUSE_S = 0.05
HTTP_OK = 200
US_PER_S = 1_000_000


class ModelCall(Call):
    """Read one generation to its end, with resumes."""

    def __init__(
        self,
        plan: LoadPlan,
        arrival: Arrival,
        sender: Sender,
        clock: RunClock,
        late_gap_s: float,
    ) -> None:
        super().__init__(plan, arrival, sender, clock)
        self._late_gap_us = late_gap_s * US_PER_S
        self._check = StreamCheck()
        self.outcome.counts = self._check.counts

    def run(self) -> CallOutcome:
        """Send the call, and resume it on another entry once the stream has started."""
        outcome, check = self.outcome, self._check
        outcome.started_at_s = self._clock.elapsed_s()
        for attempt in range(MAX_RESUMES + 1):
            outcome.resumes = attempt
            try:
                self._connect_and_read(attempt)
            except CallFailure as error:
                outcome.failure = type(error).__name__
            if self._is_ended():
                break
            time.sleep(RESUME_PAUSE_S)
        outcome.failure = check.error_type or outcome.failure
        outcome.finished_at_s = self._clock.elapsed_s()
        return outcome

    def _is_ended(self) -> bool:
        is_finished = self.outcome.end is not CallEnd.BROKEN or self._check.error_type is not None
        return is_finished or not self._check.last_event_id or self._clock.is_stopped()

    def _connect_and_read(self, attempt: int) -> None:
        rotation = self._arrival.number + attempt
        with self._sender.send(PATH, self._body(), self._headers(), rotation) as response:
            if response.status == HTTP_OK:
                self._read(response)
            elif self._check.last_event_id:
                self._check.error_type = read_refusal(response).type
            else:
                self._record_refusal(response)

    def _read(self, response: http.client.HTTPResponse) -> None:
        check = self._check
        check.start_connection()
        while buffer := response.read1(READ_BYTES):
            tokens = check.feed(buffer)
            if tokens:
                with self.outcome.lock:
                    self._count_tokens(tokens)
            if self._clock.is_stopped():
                return
            if check.is_done:
                self.outcome.end = CallEnd.ANSWERED
                self.outcome.failure = ""
                return
        self.outcome.failure = "ended_early"

    def _count_tokens(self, tokens: int) -> None:
        outcome = self.outcome
        now_s = self._clock.elapsed_s()
        second = int(now_s)
        outcome.tokens_by_second[second] += tokens
        outcome.coalesced_tokens += tokens - 1
        if outcome.first_token_at_s is None:
            outcome.first_token_at_s = now_s
        else:
            gap_us = int((now_s - outcome.last_token_at_s) * US_PER_S)
            outcome.gaps_us.append(gap_us)
            if gap_us > self._late_gap_us:
                outcome.late_gaps_by_second[second] += 1
        outcome.last_token_at_s = now_s
        outcome.tokens += tokens

    def _headers(self) -> dict[str, str]:
        elapsed_s = self._clock.elapsed_s() - self._arrival.at_s
        deadline_s = self._plan.deadline_s(self._arrival.kind) - elapsed_s
        headers = {
            "Content-Type": "application/json",
            "X-Workspace": self._arrival.workspace,
            "X-Work-Kind": self._arrival.kind.value,
            "X-Deadline-Ms": str(max(1, int(deadline_s * 1000))),
        }
        if self._check.last_event_id:
            headers["Last-Event-ID"] = self._check.last_event_id
        return headers

    def _body(self) -> bytes:
        body = {
            "model": self._plan.model,
            "prompt": self._arrival.prompt,
            "stream": True,
            "standin_output_tokens": self._arrival.output_tokens,
        }
        return json.dumps(body).encode()
