"""A local fleet of real processes, for tests and experiments."""

import signal
import tempfile
import time
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Self

from pydantic import BaseModel
from result import Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient, Reply
from gooseberryquay.standins.engine_messages import EngineCounts
from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.fleet_plan import FleetAddresses, FleetPlan, base_ini, overlay_ini
from gooseberryquay.standins.process import CommandProcess
from gooseberryquay.standins.service_messages import ServiceCounts

__all__ = ["LocalFleet"]

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
HTTP_OK = 200
PARALLEL_STARTS = 8


class LocalFleet:
    """Run a platform, engines, plain services and entries, each as a separate process."""

    def __init__(self, plan: FleetPlan, log_folder: str | None = None) -> None:
        self.plan = plan
        self.addresses = FleetAddresses(plan)
        self.proxies: dict[str, FaultProxy] = {}
        self._log_folder = log_folder
        self._commands: dict[str, tuple[str, ...]] = {}
        self._processes: dict[str, CommandProcess] = {}
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self._write_settings(folder)
        self._plan_commands(folder)
        try:
            self._start_proxies()
            self.start("platform")
            self._start_all(self.plan.engine_names() + self.plan.service_names())
            self._start_all(self.plan.entry_names())
            self.wait_until_ready(self.plan.entry_names())
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """End every process and proxy."""
        for process in self._processes.values():
            process.kill()
        for proxy in self.proxies.values():
            proxy.stop()
        self._stack.close()

    def start(self, name: str) -> None:
        """Start a member, or restart it after its end at the same address."""
        self._processes[name] = CommandProcess(
            *self._commands[name], log_path=self._log_path(name)
        ).start()

    def process(self, name: str) -> CommandProcess:
        """Return the process of a member."""
        return self._processes[name]

    def kill(self, name: str) -> None:
        """Kill a member."""
        self._processes[name].kill()

    def pause(self, name: str) -> None:
        """Stop a member with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused member with SIGCONT."""
        self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a member; `process(name).wait` returns its exit status."""
        self._processes[name].send_signal(signal.SIGTERM)

    def wait_until_ready(self, entries: Iterable[str]) -> None:
        """Wait until entries are ready; raise `TimeoutError` after `READY_TIMEOUT_S` seconds."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for name in entries:
            while not self._is_ready(name):
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"{name} was not ready within {READY_TIMEOUT_S} s")
                time.sleep(READY_POLL_S)

    def entry_addresses(self) -> tuple[Address, ...]:
        """Return the caller API addresses of all entries."""
        return tuple(self.addresses.entries.values())

    def upstream_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of all engines and plain services, bypassing their proxies."""
        names = self.plan.engine_names() + self.plan.service_names()
        return tuple(self.addresses.own[name] for name in names)

    def engine_counts(self, name: str) -> EngineCounts:
        """Read the counts of an engine."""
        return EngineCounts.model_validate_json(self._get(name, "/standin/counts").body)

    def service_counts(self, name: str) -> ServiceCounts:
        """Read the counts of a plain service."""
        return ServiceCounts.model_validate_json(self._get(name, "/standin/counts").body)

    def inject(self, name: str, fault: BaseModel) -> None:
        """Send a control message to an engine, a plain service or the platform."""
        body = fault.model_dump_json().encode()
        client = HttpClient(*self.addresses.own[name])
        # A member that crashes on the message sends no response.
        client.send("POST", "/standin/faults", body)
        client.close()

    def _get(self, name: str, path: str) -> Reply:
        client = HttpClient(*self.addresses.own[name])
        try:
            return client.send("GET", path).unwrap()
        finally:
            client.close()

    def _is_ready(self, name: str) -> bool:
        client = HttpClient(*self.addresses.entries[name])
        sent = client.send("GET", "/readyz")
        client.close()
        return isinstance(sent, Ok) and sent.ok_value.status == HTTP_OK

    def _write_settings(self, folder: Path) -> None:
        (folder / "base.ini").write_text(base_ini(self.plan, self.addresses))
        (folder / "overlay.ini").write_text(overlay_ini(self.plan, self.addresses))

    def _plan_commands(self, folder: Path) -> None:
        own, plan = self.addresses.own, self.plan
        self._commands["platform"] = ("standin", "platform", "--port", str(own["platform"].port))
        for number, name in enumerate(plan.engine_names()):
            options = {"port": own[name].port, "seed": number + 1, **plan.engine_options}
            self._commands[name] = ("standin", "engine", *_flags(options))
        for name in plan.service_names():
            options = {"port": own[name].port, **plan.service_options}
            self._commands[name] = ("standin", "service", *_flags(options))
        files = {"base": folder / "base.ini", "overlay": folder / "overlay.ini"}
        for name in plan.entry_names():
            self._commands[name] = ("entry", *_flags({**files, "name": name}))

    def _start_proxies(self) -> None:
        if not self.plan.has_proxies:
            return
        for name, advertised in self.addresses.advertised.items():
            proxy = FaultProxy(self.addresses.own[name], *advertised)
            proxy.start()
            self.proxies[name] = proxy

    def _start_all(self, names: list[str]) -> None:
        with ThreadPoolExecutor(PARALLEL_STARTS) as pool:
            list(pool.map(self.start, names))

    def _log_path(self, name: str) -> str | None:
        return f"{self._log_folder}/{name}.log" if self._log_folder else None


def _flags(options: Mapping[str, object]) -> list[str]:
    return [f"--{key}={value}" for key, value in options.items()]
