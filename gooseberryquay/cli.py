"""Command line of the entry daemon, the operator commands and the stand-ins."""

import sys

import fire
from result import Err, Ok

from gooseberryquay.contracts import load_settings
from gooseberryquay.contracts.settings_reference import write_settings_reference
from gooseberryquay.daemons.commands import run_entry
from gooseberryquay.daemons.demo import run_demo
from gooseberryquay.daemons.platform_commands import run_platform_entry
from gooseberryquay.machines.fenced_order_commands import OrderCommands
from gooseberryquay.reports.commands import run_burn
from gooseberryquay.reports.status_command import run_status
from gooseberryquay.standins.commands import StandInCommands
from gooseberryquay.standins.experiments.commands import ExperimentCommands
from gooseberryquay.standins.load.command import run_load
from gooseberryquay.standins.member_commands import MemberCommands
from gooseberryquay.standins.node_platform.soak_command import run_soak
from gooseberryquay.zones.commands import ConfigCommands, UpstreamCommands, ZoneCommands

__all__ = ["Commands", "main"]


class Commands:
    """Run and operate entries that serve generations and plain services."""

    def __init__(self) -> None:
        self.config = ConfigCommands()
        self.standin = StandInCommands()
        self.upstream = UpstreamCommands()
        self.zone = ZoneCommands()
        self.burn = run_burn
        self.status = run_status
        self.experiment = ExperimentCommands()
        self.load = run_load
        self.members = MemberCommands()
        self.order = OrderCommands()

    def entry(
        self,
        base: str | None = None,
        overlay: str | None = None,
        name: str | None = None,
        node_settings: str | None = None,
    ) -> None:
        """Run an entry until SIGTERM, then drain it.

        The entry is either NAME in OVERLAY, or the one described by the file NODE_SETTINGS that
        the node platform wrote for this instance.
        """
        if node_settings is not None:
            run_platform_entry(node_settings)
        elif base is not None and overlay is not None:
            run_entry(base, overlay, name)
        else:
            print("either --base and --overlay or --node_settings is required", file=sys.stderr)
            sys.exit(1)

    def soak(
        self,
        seed: int = 1,
        seeds: int = 1,
        entries: int = 3,
        callers: int = 24,
        folder: str = "out",
        *,
        cuts: bool = False,
    ) -> None:
        """Run SEEDS seeded fault-injection runs, starting at SEED, and print the violations.

        With CUTS, some entries are at times cut off from all upstreams.
        """
        run_soak(seed, seeds, entries, callers, folder, cuts=cuts)

    def demo(self) -> None:
        """Run stand-ins and two entries in this process and send one request of each kind."""
        run_demo()

    def settings(self) -> None:
        """Print the reference of all settings."""
        print(write_settings_reference(), end="")

    def check(self, base: str, overlay: str | None = None) -> None:
        """Validate settings and print every problem; exit with status 1 if there is any."""
        match load_settings(base, overlay):
            case Ok(_):
                print("settings are valid")
            case Err(problems):
                for problem in problems:
                    print(problem, file=sys.stderr)
                sys.exit(1)


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands(), name="gooseberryquay")
