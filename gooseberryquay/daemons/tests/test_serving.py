"""Daemons stop on a signal, whichever of their threads receives it."""

import subprocess
import sys

PROGRAM = """
import signal, threading, time
from gooseberryquay.daemons.serving import serve_until_signal

class Server:
    port = 1

    def start(self):
        threading.Thread(target=self._signal_itself, daemon=True).start()

    def _signal_itself(self):
        time.sleep(0.5)
        signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
        time.sleep(60.0)

    def stop(self):
        print("stopped")

serve_until_signal(Server())
"""


def test_signal_taken_by_another_thread_stops_the_daemon():
    """Guard against a blocked main thread: an entry under load ignored SIGTERM for 20 s."""
    command = [sys.executable, "-c", PROGRAM]
    ended = subprocess.run(command, check=False, capture_output=True, timeout=10)
    assert b"stopped" in ended.stdout
