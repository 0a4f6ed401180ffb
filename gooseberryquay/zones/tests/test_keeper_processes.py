import signal
import time

import pytest

from gooseberryquay.contracts import Address
from gooseberryquay.ids import EntryId, Incarnation, ZoneId
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.peer import Peer
from gooseberryquay.standins.keeper_node import KeeperStatus
from gooseberryquay.standins.platform_control import PlatformControl
from gooseberryquay.standins.platform_faults import Outage, PlatformFaults
from gooseberryquay.standins.process import CommandProcess
from gooseberryquay.zones.configuration_store import ConfigurationStore
from gooseberryquay.zones.tests.builders import (
    BASE_INI,
    ENTRY_NAMES,
    HOST,
    LONG_TIMEOUT_S,
    make_upstream,
    zone_out,
)
from gooseberryquay.zones.watcher_choice import choose_watchers


class Keepers:
    def __init__(self, base_path):
        self.platform = CommandProcess("standin", "platform").start()
        self.address = Address(HOST, self.platform.port)
        self.store = ConfigurationStore(PlatformClient(self.address))
        self.control = PlatformControl(self.address)
        self.ports = {}
        self._base_path = base_path
        self._roster_path = base_path.with_name("roster")
        self.processes = {}

    def start(self, *names):
        for name in names:
            self.processes[name] = CommandProcess(
                "standin",
                "keeper",
                name,
                str(self._base_path),
                str(self.address),
                str(self._roster_path),
            ).start()
            self.ports[name] = self.processes[name].port
        written_path = self._roster_path.with_suffix(".new")
        written_path.write_text("\n".join(f"{name}={port}" for name, port in self.ports.items()))
        written_path.rename(self._roster_path)

    def status(self, name):
        reply = HttpClient(HOST, self.ports[name]).send("GET", "/standin/status")
        if reply.is_err() or reply.unwrap().status != 200:
            return None
        return KeeperStatus.model_validate_json(reply.unwrap().body)

    def wait_for(self, names, is_reached, timeout_s):
        deadline_s = time.monotonic() + timeout_s
        waiting = set(names)
        while waiting and time.monotonic() < deadline_s:
            waiting = {name for name in waiting if not is_reached(self.status(name))}
            time.sleep(0.05)
        return not waiting

    def watchers(self, count):
        peers = [
            Peer(
                id=EntryId(name),
                incarnation=Incarnation(1),
                zone=ZoneId("a"),
                control_address=Address(HOST, port),
            )
            for name, port in self.ports.items()
        ]
        return choose_watchers(peers, count)

    def stop(self):
        for process in (*self.processes.values(), self.platform):
            process.kill()


@pytest.fixture
def keepers(tmp_path):
    base_path = tmp_path / "base.ini"
    base_path.write_text(BASE_INI)
    fleet = Keepers(base_path)
    yield fleet
    fleet.stop()


def _is_zone_out(status):
    return status is not None and not status.configuration.may_get_work(make_upstream("yield-0"))


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_zone_is_out_at_all_entries_within_the_bound_when_a_watcher_fails(keepers, number):
    keepers.start(*ENTRY_NAMES)
    assert keepers.wait_for(ENTRY_NAMES, lambda status: status and status.is_fresh, LONG_TIMEOUT_S)
    (failed_watcher,) = keepers.watchers(1)
    keepers.processes[failed_watcher].send_signal(number)
    others = [name for name in ENTRY_NAMES if name != failed_watcher]
    assert keepers.store.apply(zone_out(), "op").is_ok()
    assert keepers.wait_for(others, _is_zone_out, 3.0)
    if number == signal.SIGSTOP:
        keepers.processes[failed_watcher].send_signal(signal.SIGCONT)
        assert keepers.wait_for([failed_watcher], _is_zone_out, 3.0)


def test_all_entries_receive_a_change_made_just_before_an_outage(keepers):
    keepers.start(*ENTRY_NAMES)
    assert keepers.wait_for(ENTRY_NAMES, lambda status: status and status.is_fresh, LONG_TIMEOUT_S)
    assert keepers.store.apply(zone_out(), "op").is_ok()
    assert keepers.wait_for(keepers.watchers(2), _is_zone_out, LONG_TIMEOUT_S)
    keepers.control.set_faults(PlatformFaults(outage=Outage.DROP))
    assert keepers.wait_for(ENTRY_NAMES, _is_zone_out, LONG_TIMEOUT_S)
    restarted = ENTRY_NAMES[:2]
    for name in restarted:
        keepers.processes[name].kill()
    keepers.start(*restarted)
    assert keepers.wait_for(
        restarted,
        lambda status: status and status.is_fresh and _is_zone_out(status),
        LONG_TIMEOUT_S,
    )
