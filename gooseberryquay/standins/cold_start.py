"""Cold start of the engine stand-in: slow decoding, and a crash under overload."""

from gooseberryquay.standins.engine_settings import EngineSettings

__all__ = ["ColdStart"]


class ColdStart:
    """Track whether the engine is cold and how long it has been overloaded."""

    def __init__(self, settings: EngineSettings, now_s: float) -> None:
        self._settings = settings
        self._warm_at_s = now_s
        self._tokens_left = 0
        self._is_cold = False
        self._overloaded_since_s: float | None = None
        if settings.cold_s > 0:
            self.turn_cold(settings.cold_s, now_s)

    def turn_cold(self, cold_s: float, now_s: float) -> None:
        """Make the engine cold for `cold_s` seconds, or until `cold_tokens` tokens were served."""
        self._is_cold = True
        self._warm_at_s = now_s + cold_s
        self._tokens_left = self._settings.cold_tokens
        self._overloaded_since_s = None

    def is_cold(self, now_s: float) -> bool:
        """Return whether the engine is cold."""
        if self._is_cold and now_s >= self._warm_at_s:
            self._is_cold = False
        return self._is_cold

    def record_token(self) -> None:
        """Count a served token towards the warm-up."""
        if self._tokens_left > 0:
            self._tokens_left -= 1
            if self._tokens_left == 0:
                self._is_cold = False

    def is_over_capacity(self, in_flight: int, now_s: float) -> bool:
        """Return whether the engine is cold and has more in flight than its cold capacity."""
        return self.is_cold(now_s) and in_flight > self._settings.cold_capacity

    def is_crashing(self, in_flight: int, now_s: float) -> bool:
        """Return whether the overload has lasted longer than `overload_grace_s`."""
        if not self.is_over_capacity(in_flight, now_s):
            self._overloaded_since_s = None
            return False
        if self._overloaded_since_s is None:
            self._overloaded_since_s = now_s
        return now_s - self._overloaded_since_s > self._settings.overload_grace_s
