"""Subprocesses for tests and experiments; the product itself starts none."""

import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import IO, Self

from gooseberryquay.daemons.serving import READY_PREFIX

__all__ = ["CommandProcess", "ListeningProcess", "find_free_port", "run_command"]

# Below the ephemeral port range that the system uses for outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 32_000
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0
POLL_PAUSE_S = 0.05
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12


_rng = random.SystemRandom()
# UDP sockets that stay bound for the lifetime of this process. They mark a TCP port as taken for
# other processes while nothing listens on it yet.
_reservations: list[socket.socket] = []


def find_free_port(host: str = "127.0.0.1") -> int:
    """Return a TCP port that nothing listens on, outside the ephemeral port range."""
    while True:
        port = _rng.randrange(FIRST_PORT, LAST_PORT)
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((host, port))
            with socket.create_server((host, port)):
                _reservations.append(reservation)
                return port
        except OSError:
            reservation.close()


def run_command(*arguments: str, text: str) -> str:
    """Run one `gooseberryquay` command on a text as standard input and return its output.

    Raise `subprocess.CalledProcessError` if it fails.
    """
    command = [sys.executable, "-m", "gooseberryquay", *arguments]
    return subprocess.run(command, input=text, stdout=subprocess.PIPE, text=True, check=True).stdout


class CommandProcess:
    """Run one `gooseberryquay` command as a subprocess."""

    def __init__(self, *arguments: str, log_path: str | None = None) -> None:
        self._arguments: Sequence[str] = arguments
        self._log_path = log_path or os.devnull
        self._process: subprocess.Popen[str] | None = None
        self.port = 0

    def start(self) -> Self:
        """Start the process and wait until it reports that it is ready."""
        with open(self._log_path, "a", encoding="utf-8") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "gooseberryquay", *self._arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        self._wait_until_ready(self._process)
        return self

    def _wait_until_ready(self, process: subprocess.Popen[str]) -> None:
        assert process.stdout is not None
        watchdog = threading.Timer(START_TIMEOUT_S, process.kill)
        watchdog.start()
        for line in process.stdout:
            if line.startswith(READY_PREFIX):
                self.port = int(line.removeprefix(READY_PREFIX))
                break
        watchdog.cancel()
        if not self.port:
            raise RuntimeError(f"{' '.join(self._arguments)} did not start")
        drain = threading.Thread(target=process.stdout.read, daemon=True)
        drain.start()

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    def is_running(self) -> bool:
        """Return whether the process has been started and is still running."""
        return self._process is not None and self._process.poll() is None

    def cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_mb(self) -> float:
        """Return the resident memory of the process, in megabytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def peak_memory_mb(self) -> float:
        """Return the largest resident memory that the process has had."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        peak_kb = next(line for line in status.splitlines() if line.startswith("VmHWM:")).split()[1]
        return int(peak_kb) / 1024.0

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, such as SIGSTOP, SIGCONT or SIGTERM."""
        os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait(STOP_TIMEOUT_S)

    def wait(self, timeout_s: float) -> int:
        """Wait for the end of the process and return its exit status."""
        assert self._process is not None
        return self._process.wait(timeout_s)

    def __enter__(self) -> Self:
        return self.start()

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self.kill()


class ListeningProcess(CommandProcess):
    """Run one command that is ready once it listens on a port known in advance."""

    def __init__(self, *arguments: str, port: int, log_path: str | None = None) -> None:
        super().__init__(*arguments, log_path=log_path)
        self.port = port

    def _wait_until_ready(self, process: subprocess.Popen[str]) -> None:
        assert process.stdout is not None
        threading.Thread(target=self._copy_output, args=(process.stdout,), daemon=True).start()
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s and process.poll() is None:
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self.port)):
                return
            time.sleep(POLL_PAUSE_S)
        raise RuntimeError(f"{' '.join(self._arguments)} did not start")

    def _copy_output(self, output: IO[str]) -> None:
        with open(self._log_path, "a", encoding="utf-8") as log:
            for line in output:
                log.write(line)
                log.flush()
