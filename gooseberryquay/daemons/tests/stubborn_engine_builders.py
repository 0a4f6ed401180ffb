"""Engines behind fault proxies that go on generating when their caller's connection ends."""

import time
from collections import defaultdict
from dataclasses import dataclass

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.streaming_gateway import CallerDisconnected
from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.upstream_server import ModelEngine

# The rule: nothing works on a request this long after it went on at another engine.
OVERLAP_MAX_S = 0.4


class StubbornEngine(ModelEngine):
    """Generate to the end unless a final copy stops the run.

    `copy_refusal` is the status line with which requests that go on from a copy are refused.
    """

    first_event_s = 0.0
    copy_refusal = None

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.spans = defaultdict(list)

    def _run(self, received):
        if self.copy_refusal is not None and "kv-from" in received.headers:
            received.respond(self.copy_refusal, [])
            return
        super()._run(received)

    def _stream(self, received, run, last, crash_at):
        span = [time.monotonic(), time.monotonic()]
        self.spans[received.id].append(span)
        until_s = time.monotonic() + self.first_event_s
        while time.monotonic() < until_s and not run.is_stopped:
            time.sleep(self.event_s)
        try:
            super()._stream(received, run, last, crash_at)
        except CallerDisconnected:
            while run.event_count < last and not run.is_stopped and not self.is_crashed:
                time.sleep(self.event_s)
                run.event_count += 1
                span[1] = time.monotonic()
            raise
        finally:
            span[1] = time.monotonic()


@dataclass(frozen=True)
class _Listed:
    id: str
    port: int
    version: str
    born_ms: int


class StubbornSite(Site):
    """Run stubborn engines, each listed at the address of a fault proxy."""

    def __init__(self, rng):
        super().__init__(rng)
        self.proxies = {}

    def add_engine(self, version="v1"):
        """Start an engine behind a proxy, list it and return its id."""
        engine = StubbornEngine(self._new_id(), self.record, self._rng, self._engines_by_port)
        engine.version = version
        engine.start()
        proxy = FaultProxy(Address("127.0.0.1", engine.port))
        proxy.start()
        self._engines_by_port[proxy.port] = engine
        self.proxies[engine.id] = proxy
        self.engines[engine.id] = engine
        self._list(engine, "model", "ready")
        return engine.id

    def _list(self, upstream, service, state):
        proxy = self.proxies.get(upstream.id)
        port = proxy.port if proxy is not None else upstream.port
        listed = _Listed(upstream.id, port, upstream.version, upstream.born_ms)
        super()._list(listed, service, state)

    def stop(self):
        """Stop the proxies and the site."""
        for proxy in self.proxies.values():
            proxy.stop()
        super().stop()

    def overlaps(self):
        """Return the requests that two engines worked on at a time, and for how long."""
        spans = defaultdict(list)
        for engine in self.engines.values():
            for id, of_request in engine.spans.items():
                spans[id] += [(began_s, ended_s, engine.id) for began_s, ended_s in of_request]
        overlaps = []
        for id, of_request in spans.items():
            ordered = sorted(of_request)
            for before, after in zip(ordered, ordered[1:], strict=False):
                overlap_s = min(before[1], after[1]) - after[0]
                if overlap_s > OVERLAP_MAX_S:
                    overlaps.append((id, before[2], after[2], round(overlap_s, 2)))
        return overlaps
