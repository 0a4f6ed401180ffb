"""Engines that end a stream without framing at the deadline of its request."""

import threading

from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.upstream_server import ModelEngine

# An engine doesn't begin a step of its batch that would end after the deadline.
STEP_S = 0.02


class PunctualEngine(ModelEngine):
    """Stop work at the deadline that a request states."""

    is_unframed = True

    def _stream(self, received, run, last, crash_at):
        left_s = float(received.headers["x-deadline-ms"]) / 1000.0
        timer = threading.Timer(left_s - STEP_S, self._stop, (received.id, run))
        timer.daemon = True
        timer.start()
        try:
            super()._stream(received, run, last, crash_at)
        finally:
            timer.cancel()

    def _stop(self, id, run):
        self.record.add_stopped(id)
        run.is_stopped = True


class PunctualSite(Site):
    """Run engines that stop work at the deadline of a request."""

    def add_engine(self, version="v1"):
        """Start an engine, list it and return its id."""
        engine = PunctualEngine(self._new_id(), self.record, self._rng, self._engines_by_port)
        engine.version = version
        engine.start()
        self.engines[engine.id] = engine
        self._list(engine, "model", "ready")
        return engine.id
