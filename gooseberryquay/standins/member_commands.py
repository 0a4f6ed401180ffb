"""Commands that run and measure membership stand-ins."""

from gooseberryquay.contracts.fields import Address
from gooseberryquay.daemons.serving import serve_until_signal
from gooseberryquay.ids import EntryId
from gooseberryquay.machines.control_budget import CONTROL_BYTES_PER_S, ControlBudget
from gooseberryquay.machines.member_timing import MembershipTiming
from gooseberryquay.standins.control_experiment import ControlExperiment
from gooseberryquay.standins.control_node import ControlNode
from gooseberryquay.standins.member import MemberStandIn, platform_directory
from gooseberryquay.standins.member_experiment import MemberExperiment
from gooseberryquay.standins.paused_holder import run_paused_holder

__all__ = ["MemberCommands"]

HOST = "127.0.0.1"


class MemberCommands:
    """Run and measure stand-ins that take part only in membership or control traffic."""

    def measure(self, count: int, seconds: float = 30.0, speed: float = 1.0) -> None:
        """Run COUNT members as processes and print their cost and convergence times."""
        MemberExperiment(count, seconds, speed).run()

    def measure_control(self, count: int, seconds: float = 60.0, settle_s: float = 60.0) -> None:
        """Run COUNT nodes as processes and print the cost of their control traffic."""
        ControlExperiment(count, seconds, settle_s).run()

    def serve_control(
        self, id: str, port: int, seed_ports: str, platform_port: int, load_port: int
    ) -> None:
        """Serve one node that carries only control traffic, until SIGTERM."""
        serve_until_signal(
            ControlNode(
                EntryId(id),
                port,
                seed_ports=tuple(int(each) for each in str(seed_ports).split("-")),
                platform_port=platform_port,
                load_port=load_port,
            )
        )

    def paused_holder(
        self, platform_port: int, upstream_port: int, lease_s: float, has_alarm: bool = False
    ) -> None:
        """Issue an order, but pause this process between the check of its lease and the send."""
        run_paused_holder(platform_port, upstream_port, lease_s, has_alarm)

    def serve(
        self,
        id: str,
        port: int,
        seed_ports: str = "",
        platform_port: int = 0,
        speed: float = 1.0,
    ) -> None:
        """Serve one member until SIGTERM; `speed` divides all periods.

        The ports in `seed_ports` are separated by hyphens.
        """
        seeds = tuple(Address(HOST, int(each)) for each in str(seed_ports).split("-") if each)
        platform = Address(HOST, platform_port) if platform_port else None
        serve_until_signal(
            MemberStandIn(
                EntryId(id),
                Address(HOST, port),
                seeds=seeds,
                directory=platform_directory(platform),
                timing=MembershipTiming().scaled(1 / speed),
                budget=ControlBudget(speed * CONTROL_BYTES_PER_S),
            )
        )
