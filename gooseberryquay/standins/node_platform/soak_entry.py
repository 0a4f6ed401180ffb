"""One entry process of a soak, with the links to its callers and to the store."""

import signal
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from gooseberryquay.contracts.fields import Address
from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.node_platform.entry_history import EntryHistory
from gooseberryquay.standins.node_platform.entry_view import CutManner, EntryView
from gooseberryquay.standins.node_platform.site import GRACE_S, EntryPorts
from gooseberryquay.standins.node_platform.soak_judges import Rule, Violation
from gooseberryquay.standins.process import ListeningProcess

__all__ = ["SoakEntry"]

STOP_TIMEOUT_S = 20.0
# The machine may delay the end of a process by this time.
EXIT_SLACK_S = 1.0


@dataclass
class SoakEntry:
    """Entry process whose stops are recorded in its history."""

    ports: EntryPorts
    settings: Path
    store_proxy: FaultProxy
    log_path: Path
    violations: list[Violation]
    history: EntryHistory = field(default_factory=lambda: EntryHistory(GRACE_S))
    # Links of the entry's own to upstreams, if these may be cut.
    view: EntryView | None = None

    def __post_init__(self) -> None:
        self.caller_proxy = FaultProxy(
            Address("127.0.0.1", self.ports.callers), on_forwarded=self.history.add_passed_on
        )
        self.process = self._new_process()
        self._restart_lock = threading.Lock()

    def start_caller_link(self) -> None:
        """Start the proxy for callers."""
        self.caller_proxy.start()
        self.history.proxied_ports.add(self.caller_proxy.port)

    @property
    def caller_ports(self) -> tuple[int, int]:
        """Return the ports of callers with and without a proxy."""
        return self.ports.callers, self.caller_proxy.port

    def cut_from_upstreams(self, manner: CutManner) -> None:
        """Cut the entry off from all upstreams."""
        if self.view is not None:
            self.view.cut(manner)

    def heal_upstream_links(self) -> None:
        """End the cut from all upstreams."""
        if self.view is not None:
            self.view.heal()

    def start(self) -> None:
        """Start the process and wait until it accepts connections."""
        self.process = self._new_process()
        began_at_s = time.monotonic()
        try:
            self.process.start()
        except RuntimeError as error:
            # Another stop may end the process while it starts.
            if not self.history.has_stopped_since(began_at_s):
                self._report(str(error))

    def stop_links(self) -> None:
        """Stop the proxies of the entry's links."""
        self.caller_proxy.stop()
        self.store_proxy.stop()
        if self.view is not None:
            self.view.stop()

    def restart(self, how: signal.Signals) -> None:
        """Stop the process by a signal, wait for its end and start it again."""
        process = self.process
        if not process.is_running():
            return
        if how is signal.SIGKILL:
            with self.history.disrupted():
                process.send_signal(how)
                process.wait(STOP_TIMEOUT_S)
        else:
            self._stop_planned(process, how)
        with self._restart_lock:
            # Another stop that overlapped this one may have started the entry again.
            if self.process is process:
                self.start()

    def _stop_planned(self, process: ListeningProcess, how: signal.Signals) -> None:
        self.history.add_stop()
        began_at_s = time.monotonic()
        process.send_signal(how)
        process.wait(STOP_TIMEOUT_S)
        ended_at_s = time.monotonic()
        if ended_at_s - began_at_s <= GRACE_S + EXIT_SLACK_S:
            return
        if not self.history.is_disrupted(began_at_s, ended_at_s, self.ports.callers):
            self._report(f"ran {ended_at_s - began_at_s:.1f} s after SIGTERM")

    def _report(self, text: str) -> None:
        violation = Violation(Rule.FAULT, f"{self.ports.name}: {text}", port=self.ports.callers)
        self.violations.append(violation)

    def _new_process(self) -> ListeningProcess:
        return ListeningProcess(
            "entry",
            f"--node_settings={self.settings}",
            port=self.ports.callers,
            log_path=str(self.log_path),
        )
