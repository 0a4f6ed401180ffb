"""Load reports that lag behind the current state."""

from collections import deque

from gooseberryquay.machines.load_report import LoadReport

__all__ = ["LaggedReport"]


class LaggedReport:
    """Keep recent load reports and return the one that was current `lag_s` ago."""

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self._recorded: deque[tuple[float, LoadReport]] = deque()

    def record(self, report: LoadReport, now_s: float) -> None:
        """Add the current state and drop reports too old to be read again."""
        self._recorded.append((now_s, report))
        while len(self._recorded) > 1 and self._recorded[1][0] <= now_s - self.lag_s:
            self._recorded.popleft()

    def read(self, now_s: float) -> LoadReport:
        """Return the state as of `lag_s` ago, with its age."""
        found = self._recorded[0][1]
        for recorded_s, report in self._recorded:
            if recorded_s > now_s - self.lag_s:
                break
            found = report
        return found.model_copy(update={"age_s": self.lag_s})
