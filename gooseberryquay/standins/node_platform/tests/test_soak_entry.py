"""Stops and disruptions of an entry are recorded as they happen."""

import signal

from gooseberryquay.standins.node_platform.site import GRACE_S
from gooseberryquay.standins.node_platform.soak_entry import EXIT_SLACK_S, SoakEntry
from gooseberryquay.standins.node_platform.tests.soak_builders import PORT


class Ports:
    """Ports of an entry that is never started."""

    name = "entry-0"
    callers = PORT


class StoppedProcess:
    """Process that ends a fixed time after its signal, by a clock of the test."""

    def __init__(self, clock, lasts_s):
        self._clock = clock
        self._lasts_s = lasts_s
        self.is_over = False

    def is_running(self):
        """Return whether the process has not ended."""
        return not self.is_over

    def send_signal(self, _number):
        """Take a signal."""

    def wait(self, _timeout_s):
        """End the process."""
        self._clock[0] += self._lasts_s
        self.is_over = True


def _restarted(monkeypatch, how, lasts_s, is_frozen=False):
    clock = [0.0]
    monkeypatch.setattr("time.monotonic", lambda: clock[0])
    starts = []
    monkeypatch.setattr(SoakEntry, "start", lambda entry: starts.extend([entry]))
    entry = SoakEntry(Ports(), "settings", None, "log", [])
    entry.process = StoppedProcess(clock, lasts_s)
    if is_frozen:
        entry.history.begin_disruption()
    entry.restart(how)
    assert starts == [entry]
    return entry


def test_entry_that_runs_on_after_its_grace_breaks_a_rule_unless_it_was_frozen(monkeypatch):
    late_s = GRACE_S + EXIT_SLACK_S + 0.1
    late = _restarted(monkeypatch, signal.SIGTERM, late_s)
    assert [each.rule.value for each in late.violations] == ["FAULT"]
    assert _restarted(monkeypatch, signal.SIGTERM, GRACE_S).violations == []
    assert _restarted(monkeypatch, signal.SIGTERM, late_s, is_frozen=True).violations == []


def test_kill_is_a_disruption_while_the_process_ends_and_a_planned_stop_is_none(monkeypatch):
    killed = _restarted(monkeypatch, signal.SIGKILL, 1.0).history
    assert (killed.stops, killed.is_disrupted(0.5, 0.6, PORT)) == ([], True)
    assert not killed.is_disrupted(1.1, 1.2, PORT)
    stopped = _restarted(monkeypatch, signal.SIGTERM, 1.0).history
    assert (stopped.stops, stopped.is_disrupted(0.5, 0.6, PORT)) == ([0.0], False)


def test_overlapping_stops_start_an_entry_once(monkeypatch):
    entry = _restarted(monkeypatch, signal.SIGTERM, 1.0)
    entry.restart(signal.SIGKILL)
    assert entry.history.disruptions == []


def test_entry_that_does_not_start_breaks_a_rule_unless_another_stop_ended_it(monkeypatch):
    def started(is_stopped):
        entry = SoakEntry(Ports(), "settings", None, "log", [])

        def fail(_process):
            if is_stopped:
                entry.history.add_stop()
            raise RuntimeError("did not start")

        monkeypatch.setattr("gooseberryquay.standins.process.ListeningProcess.start", fail)
        entry.start()
        return [each.rule.value for each in entry.violations]

    assert started(is_stopped=False) == ["FAULT"]
    assert started(is_stopped=True) == []


def test_stop_of_an_entry_whose_process_is_not_there_yet_does_nothing():
    entry = SoakEntry(Ports(), "settings", None, "log", [])
    entry.restart(signal.SIGKILL)
    assert (entry.history.disruptions, entry.violations) == ([], [])
