"""The `load` command."""

import json
import sys
from typing import Any, NoReturn

from pydantic import TypeAdapter, ValidationError

from gooseberryquay.contracts.fields import Address, AddressField
from gooseberryquay.ids import ServiceId, WorkspaceId
from gooseberryquay.standins.load.arrivals import LoadPlan
from gooseberryquay.standins.load.run import LoadRun
from gooseberryquay.standins.load.sharded_run import ShardedLoadRun
from gooseberryquay.standins.load.variant import LoadOptions, Variant

__all__ = ["run_load"]

DEFAULT_VARIANT = "run"
_ADDRESSES: TypeAdapter[list[Address]] = TypeAdapter(list[AddressField])


def run_load(
    *variants: str,
    target: Any = None,
    engines: Any = (),
    workspaces: Any = (),
    service: str = "",
    plain_service: str | None = None,
    rate: float = 10.0,
    duration: float = 30.0,
    seed: int = 1,
    drain_s: float = 60.0,
    open_calls_max: int = 800,
    processes: int = 1,
    json: bool = False,
    seconds: bool = False,
    **plan: Any,
) -> None:
    """Send an open-loop load to entries and print the callers' measurements.

    Pass either --target IP:PORT[,IP:PORT...] with --engines to include the counts of the
    upstreams, or one NAME=IP:PORT[,IP:PORT...][/UPSTREAM[,UPSTREAM...]] per variant. Other options
    are fields of the plan: shares, lengths, bursts and deadlines. --seconds prints each second.
    One process reads about 5,000 tokens/s; --processes distributes the calls over several.
    """
    load_plan = LoadPlan(
        workspaces=tuple(WorkspaceId(each) for each in _split_names(workspaces)),
        model=ServiceId(service),
        plain_service=ServiceId(plain_service) if plain_service else None,
        rate_per_s=rate,
        duration_s=duration,
        seed=seed,
        **plan,
    )
    chosen = [_parse_variant(text) for text in variants]
    if target is not None:
        chosen.append(Variant(DEFAULT_VARIANT, _parse_addresses(target), _parse_addresses(engines)))
    if not chosen or not load_plan.workspaces or not service:
        _exit_with_error("--workspaces, --service and --target or NAME=IP:PORT are required")
    options = LoadOptions(drain_s=drain_s, open_calls_max=open_calls_max, shows_progress=True)
    if processes > 1:
        summaries = ShardedLoadRun(load_plan, chosen, options, processes).run()
    else:
        summaries = LoadRun(load_plan, chosen, options).run()
    if json:
        _print_json([summary.model_dump() for summary in summaries])
        return
    for summary in summaries:
        for line in summary.lines():
            print(line)
        for second in summary.seconds if seconds else ():
            print(f"  {second.model_dump_json()}")


def _parse_variant(text: str) -> Variant:
    name, separator, addresses = text.partition("=")
    if not separator:
        _exit_with_error(f"{text}: must be NAME=IP:PORT[,IP:PORT...][/UPSTREAM[,UPSTREAM...]]")
    entries, _, upstreams = addresses.partition("/")
    return Variant(name, _parse_addresses(entries), _parse_addresses(upstreams))


def _parse_addresses(value: Any) -> tuple[Address, ...]:
    try:
        return tuple(_ADDRESSES.validate_python(_split_names(value)))
    except ValidationError:
        _exit_with_error(f"{value}: must be IP:PORT[,IP:PORT...]")


def _split_names(value: Any) -> list[str]:
    """Split comma-separated names; the command line may have split them already."""
    if isinstance(value, str):
        return [each.strip() for each in value.split(",") if each.strip()]
    return [str(each) for each in value]


def _print_json(value: Any) -> None:
    print(json.dumps(value))


def _exit_with_error(message: str) -> NoReturn:
    print(message, file=sys.stderr)
    sys.exit(1)
