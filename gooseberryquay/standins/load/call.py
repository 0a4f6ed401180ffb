"""Base class of the calls: their destination, and the record of a refusal."""

import http.client

from gooseberryquay.standins.load.arrivals import Arrival, LoadPlan
from gooseberryquay.standins.load.outcome import CallEnd, CallOutcome
from gooseberryquay.standins.load.refusal import read_refusal
from gooseberryquay.standins.load.run_clock import RunClock
from gooseberryquay.standins.load.sender import Sender

__all__ = ["Call"]


class Call:
    """Send one call of the load plan and collect its outcome."""

    def __init__(self, plan: LoadPlan, arrival: Arrival, sender: Sender, clock: RunClock) -> None:
        self._plan = plan
        self._arrival = arrival
        self._sender = sender
        self._clock = clock
        self.outcome = CallOutcome(arrival)

    def run(self) -> CallOutcome:
        """Send the call, wait for its end and return its outcome."""
        raise NotImplementedError

    def _record_refusal(self, response: http.client.HTTPResponse) -> None:
        refusal = read_refusal(response)
        self.outcome.failure = refusal.type
        self.outcome.is_incomplete_refusal = not refusal.is_complete
        self.outcome.end = CallEnd.REFUSED
