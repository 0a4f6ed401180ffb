from result import Ok

from gooseberryquay.contracts.service import Repeat
from gooseberryquay.errors import Overloaded
from gooseberryquay.links.dispatch_outcome import NotSent, RefusedByUpstream, Undecided
from gooseberryquay.links.service_caller import ServiceCaller
from gooseberryquay.links.service_link import ServiceCall
from gooseberryquay.links.tests.builders import HeldPlacement
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.machines.tests.choice_builders import build_upstream, build_work

CALL = ServiceCall("find-lot", "request-1", b"{}", Repeat.ALLOWED, 10.0, None)
REFUSED = RefusedByUpstream("busy")


class ScriptedLink:
    """Give one scripted outcome for each send."""

    def __init__(self, outcomes):
        self._outcomes = list(outcomes)

    def send(self, _call):
        return self._outcomes.pop(0)


class AlwaysPlaces:
    """Place every request at the same upstream."""

    def place(self, _work):
        return Ok(HeldPlacement(build_upstream()))


def _send(*outcomes):
    link = ScriptedLink(outcomes)
    caller = ServiceCaller(AlwaysPlaces(), lambda _upstream: link, RetryBudget(1.0))
    return caller.send(build_work(), CALL)


def test_refusals_after_an_attempt_that_may_have_run_leave_it_undecided():
    lost = Undecided("the answer was lost")
    assert _send(lost, REFUSED, NotSent(Overloaded("busy")), REFUSED) == lost


def test_refusals_alone_are_a_refusal():
    assert _send(REFUSED, REFUSED, REFUSED, REFUSED) == REFUSED
