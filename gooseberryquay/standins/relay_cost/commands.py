"""Commands of the relay cost experiment."""

from gooseberryquay.daemons.serving import serve_until_signal
from gooseberryquay.standins.relay_cost.experiment import RelayCostExperiment
from gooseberryquay.standins.relay_cost.reference_relays import BareRelay, PlainRelay
from gooseberryquay.standins.relay_cost.token_source import TokenSource

__all__ = ["RelayCostCommands"]


class RelayCostCommands:
    """Run the relay cost experiment and its parts."""

    def tokensource(self, tokens: int, period_s: float, port: int = 0) -> None:
        """Serve event streams at a fixed rate."""
        serve_until_signal(TokenSource(tokens, period_s, port))

    def barerelay(self, source_port: int, port: int = 0) -> None:
        """Relay with bare sockets."""
        serve_until_signal(BareRelay(source_port, port))

    def plainrelay(self, source_port: int, port: int = 0) -> None:
        """Relay with unmodified cheroot and urllib3."""
        serve_until_signal(PlainRelay(source_port, port))

    def relaycost(
        self, streams: int = 500, tokens: int = 200, period_s: float = 0.05, rounds: int = 2
    ) -> None:
        """Print the CPU time per token of three relays, in alternating rounds."""
        experiment = RelayCostExperiment(streams, tokens, period_s)
        for _ in range(rounds):
            for relay in ("bare", "plain", "entry"):
                print(experiment.run(relay), flush=True)
