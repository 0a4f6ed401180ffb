"""Ports for stand-ins and entries that several test processes start side by side."""

import subprocess
import sys

from gooseberryquay.standins.process import find_free_port

PROGRAM = """
import sys
from gooseberryquay.standins import process

class Draws:
    def __init__(self):
        self.ports = [int(each) for each in sys.argv[1:]]

    def randrange(self, _first, _last):
        return self.ports.pop(0)

process._random = Draws()
print(process.find_free_port())
"""


def test_port_that_one_process_was_given_is_not_given_to_another():
    """Soak seed 2, beside load: an entry started again and its port was another test's by then."""
    mine = find_free_port()
    draws = [str(mine + offset) for offset in range(10)]
    command = [sys.executable, "-c", PROGRAM, *draws]
    ended = subprocess.run(command, check=False, capture_output=True, timeout=20)
    assert int(ended.stdout) != mine
