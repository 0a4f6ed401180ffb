"""Comparison of the CPU time per token of an entry and two reference relays in one run."""

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from gooseberryquay.standins.process import CommandProcess, find_free_port
from gooseberryquay.standins.relay_cost.stream_reader import ReadResult, StreamReader

__all__ = ["RelayCost", "RelayCostExperiment"]

MODEL = "model"
WORKSPACE = "caller"
BODY = b'{"model":"model","prompt":"x","stream":true}'
ZONE = "zone-a"
MARGIN_S = 60.0
SETTLE_S = 4.0


@dataclass(frozen=True)
class RelayCost:
    """Cost of one relay; CPU time and memory are those of the relay process alone."""

    relay: str
    token_count: int
    cpu_us_per_token: float
    gap_p99_ms: float
    gap_max_ms: float
    resident_mb: float

    def __str__(self) -> str:
        return (
            f"{self.relay:8} {self.token_count:8} tokens  {self.cpu_us_per_token:6.1f} us/token"
            f"  gap p99 {self.gap_p99_ms:6.1f} ms  max {self.gap_max_ms:6.1f} ms"
            f"  {self.resident_mb:5.0f} MB"
        )


class RelayCostExperiment:
    """Run the relays one after another, each with a new source of the same parameters."""

    def __init__(self, streams: int, tokens: int, period_s: float) -> None:
        self._streams = streams
        self._tokens = tokens
        self._period_s = period_s

    def run(self, relay: str) -> RelayCost:
        """Measure one relay (`bare`, `plain` or `entry`) and return its cost."""
        source = CommandProcess(
            "standin", "tokensource", f"--tokens={self._tokens}", f"--period_s={self._period_s}"
        )
        platform = CommandProcess("standin", "platform")
        with source, platform, tempfile.TemporaryDirectory() as folder:
            process = self._relay_process(relay, source.port, platform.port, Path(folder))
            with process:
                time.sleep(SETTLE_S)
                cpu_before_s = process.cpu_s()
                result = self._read(process.port)
                cpu_s = process.cpu_s() - cpu_before_s
                resident_mb = process.resident_mb()
        return _build_cost(relay, result, cpu_s, resident_mb)

    def _relay_process(
        self, relay: str, source_port: int, platform_port: int, folder: Path
    ) -> CommandProcess:
        if relay != "entry":
            return CommandProcess("standin", f"{relay}relay", f"--source_port={source_port}")
        base, overlay = folder / "base.ini", folder / "overlay.ini"
        base.write_text(_build_base(source_port, platform_port))
        overlay.write_text(_build_overlay())
        return CommandProcess("entry", f"--base={base}", f"--overlay={overlay}")

    def _read(self, port: int) -> ReadResult:
        request = (
            b"POST /v1/completions HTTP/1.1\r\nHost: relay\r\nContent-Type: application/json\r\n"
            b"X-Workspace: %s\r\nContent-Length: %d\r\n\r\n%s"
            % (WORKSPACE.encode(), len(BODY), BODY)
        )
        reader = StreamReader(port, request, self._streams)
        return reader.run(self._tokens * self._period_s + MARGIN_S)


def _build_base(source_port: int, platform_port: int) -> str:
    return (
        f"[site:site]\nzones = {ZONE}\n[service:{MODEL}]\nkind = model\n"
        f"[workspace:{WORKSPACE}]\nmax_in_flight = 100000\n"
        f"[upstream:engine]\nservice = {MODEL}\nzone = {ZONE}\n"
        f"address = 127.0.0.1:{source_port}\nin_flight_max = 100000\n"
        f"[platform]\naddress = 127.0.0.1:{platform_port}\n[log]\nlevel = WARNING\n"
    )


def _build_overlay() -> str:
    return (
        f"[entry:entry-1]\nzone = {ZONE}\naddress = 127.0.0.1:{find_free_port()}\n"
        f"control_address = 127.0.0.1:{find_free_port()}\n"
    )


def _build_cost(relay: str, result: ReadResult, cpu_s: float, resident_mb: float) -> RelayCost:
    return RelayCost(
        relay=relay,
        token_count=result.token_count,
        cpu_us_per_token=cpu_s / max(result.token_count, 1) * 1e6,
        gap_p99_ms=result.gaps_us.get_value_at_percentile(99) / 1000,
        gap_max_ms=result.gaps_us.get_max_value() / 1000,
        resident_mb=resident_mb,
    )
