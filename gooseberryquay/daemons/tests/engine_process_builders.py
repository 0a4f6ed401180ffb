"""Engines as processes of their own, and the troubles that come over them."""

import signal
import time
from enum import Enum

from gooseberryquay.daemons.tests.promise_builders import Services
from gooseberryquay.standins.node_platform.engine_process import EngineOptions, EngineProcess

EVENT_S = 0.15
# Callers get promises, and try again after them.
SHED_SHARE = 0.5
# Long enough for a migration.
LEAVE_S = 1.2
FREEZE_MAX_S = 2.5


class EngineTrouble(Enum):
    """Enumerate what happens to one engine or, as they leave, to two."""

    FROZEN = "frozen"
    KILLED = "killed"
    REPLACED_AT_ITS_ADDRESS = "replaced at its address"
    LEAVES = "leaves, then replaced at its address"
    LEAVES_FROZEN = "leaves, frozen meanwhile"
    LEAVES_BESIDE_FROZEN = "leaves, beside one that is frozen"


class Engines(Services):
    """Run engines as processes and list them in the store of a site."""

    def __init__(self, site, folder, trouble):
        super().__init__(site, folder, trouble)
        self._born_ms = {}

    def add(self, port):
        """Start an engine at a port and list it."""
        self._count += 1
        name = f"e-{self._count}"
        path = str(self._folder / f"{name}.runs")
        is_unframed = self._count % 2 == 0
        process = EngineProcess(EngineOptions(name, port, path, EVENT_S, is_unframed, SHED_SHARE))
        self.processes.append(process)
        self._start(process)

    def _start(self, process):
        process.start()
        self._born_ms[process.options.id] = int(time.time() * 1000.0)
        self._list(process, "ready")

    def _list(self, process, state):
        record = {
            "service": "model",
            "address": f"127.0.0.1:{process.options.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "born": self._born_ms[process.options.id],
        }
        self._site.store.put("servers", process.options.id, record)

    def disturb(self, trouble, rng):
        """Let one thing happen to one engine."""
        process, other, third = rng.sample(self.processes, 3)
        match trouble:
            case EngineTrouble.FROZEN:
                _freeze(process, rng, FREEZE_MAX_S)
            case EngineTrouble.KILLED:
                process.kill()
                time.sleep(rng.uniform(0.0, 0.5))
                self._start(process)
            case EngineTrouble.REPLACED_AT_ITS_ADDRESS:
                self.replace(process)
            case EngineTrouble.LEAVES:
                self._leave(process, other, lambda: None)
            case EngineTrouble.LEAVES_FROZEN:
                self._leave(process, other, lambda: _freeze(process, rng, LEAVE_S))
            case EngineTrouble.LEAVES_BESIDE_FROZEN:
                self._leave(process, other, lambda: _freeze(third, rng, LEAVE_S))
        time.sleep(rng.uniform(0.1, 0.4))

    def _leave(self, process, other, meanwhile):
        for each in (process, other):
            self._list(each, "draining")
        meanwhile()
        time.sleep(LEAVE_S)
        for each in (process, other):
            self.replace(each)


def _freeze(process, rng, longest_s):
    time.sleep(rng.uniform(0.0, 0.2))
    process.send_signal(signal.SIGSTOP)
    time.sleep(rng.uniform(0.2, longest_s))
    process.send_signal(signal.SIGCONT)
