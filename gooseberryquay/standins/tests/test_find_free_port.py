"""Port selection for stand-ins and entries that several test processes start concurrently."""

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

process._rng = Draws()
print(process.find_free_port())
"""


def test_port_reserved_by_one_process_is_not_returned_to_another():
    """Guard against one port being reserved by two processes.

    In soak seed 2, run concurrently with load, an entry restarted after another test had taken its
    port.
    """
    reserved_port = find_free_port()
    draws = [str(reserved_port + offset) for offset in range(10)]
    command = [sys.executable, "-c", PROGRAM, *draws]
    ended = subprocess.run(command, check=False, capture_output=True, timeout=20)
    assert int(ended.stdout) != reserved_port
