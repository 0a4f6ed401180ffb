import contextlib
import signal

import pytest
import urllib3

from gooseberryquay.machines.tests.member_builders import wait_until
from gooseberryquay.standins.member import MemberReport
from gooseberryquay.standins.process import CommandProcess, find_free_port


class MemberProcess:
    """Member process that can be restarted at the same address."""

    def __init__(self, name, seed_port=""):
        self.name = name
        self.seed_port = str(seed_port)
        self.port = find_free_port()
        self.process = self._start()

    def _start(self):
        arguments = ["--id", self.name, "--port", str(self.port), "--seed_ports", self.seed_port]
        return CommandProcess("members", "serve", *arguments, "--speed", "5").start()

    def kill(self):
        self.process.kill()

    def restart(self):
        self.process.kill()
        self.process = self._start()

    def runs(self):
        url = f"http://127.0.0.1:{self.port}/report"
        answer = urllib3.request("GET", url, timeout=2.0)
        live = MemberReport.model_validate_json(answer.data).live
        return {peer.id: peer.incarnation for peer in live}


@pytest.fixture
def members():
    with contextlib.ExitStack() as ends:

        def add(name, seed_port=""):
            member = MemberProcess(name, seed_port)
            ends.callback(member.kill)
            return member

        seed = add("entry-0")
        started = [seed, *(add(f"entry-{number}", seed.port) for number in range(1, 4))]
        wait_until(lambda: all(len(member.runs()) == 4 for member in started))
        yield started


def test_killed_member_is_removed_and_its_next_run_replaces_it(members):
    *others, killed = members
    former = killed.runs()[killed.name]
    killed.process.kill()
    wait_until(lambda: all(killed.name not in member.runs() for member in others))
    killed.restart()
    wait_until(lambda: all(member.runs().get(killed.name, 0) > former for member in members))


def test_paused_member_returns_and_old_beliefs_do_not(members):
    first, second, replaced, paused = members
    run = first.runs()[paused.name]
    paused.process.send_signal(signal.SIGSTOP)
    wait_until(lambda: all(paused.name not in member.runs() for member in (first, second)))
    former = replaced.runs()[replaced.name]
    replaced.restart()
    wait_until(lambda: all(each.runs().get(replaced.name, 0) > former for each in (first, second)))
    paused.process.send_signal(signal.SIGCONT)

    def has_returned():
        runs = [each.runs() for each in (first, second)]
        assert all(each.get(replaced.name) != former for each in runs)
        return all(each == paused.runs() and each.get(paused.name) == run for each in runs)

    wait_until(has_returned)
