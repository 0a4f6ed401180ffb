import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.standins.engine import EngineStandIn
from gooseberryquay.standins.engine_settings import EngineSettings
from gooseberryquay.standins.load import (
    LoadOptions,
    LoadPlan,
    LoadRun,
    ShardedLoadRun,
    Variant,
    plan_arrivals,
)
from gooseberryquay.standins.process import find_free_port

PLAN = LoadPlan(
    workspaces=("clerks", "line", "plant"),
    model="m",
    rate_per_s=40.0,
    duration_s=2.0,
    seed=7,
    summary_tokens_median=30.0,
)
FAST = EngineSettings(step_base_s=0.002, step_per_sequence_s=0.0)


@pytest.fixture
def start_engine():
    engines = []

    def start():
        engine = EngineStandIn(FAST)
        engine.start()
        engines.append(engine)
        return Address("127.0.0.1", engine.port)

    yield start
    for engine in engines:
        engine.stop()


def test_plan_is_the_same_for_the_same_seed():
    first, second = plan_arrivals(PLAN), plan_arrivals(PLAN)
    assert first == second
    assert first != plan_arrivals(LoadPlan(**{**PLAN.__dict__, "seed": 8}))
    assert [each.at_s for each in first] == sorted(each.at_s for each in first)


def test_variants_get_the_same_calls_and_engines_are_counted(start_engine):
    addresses = [start_engine(), start_engine()]
    variants = [Variant(str(each.port), (each,), (each,)) for each in addresses]
    first, second = LoadRun(PLAN, variants).run()
    expected = plan_arrivals(PLAN)
    for summary in (first, second):
        assert sum(kind.answered for kind in summary.kinds.values()) == len(expected)
        assert summary.tokens == sum(each.output_tokens for each in expected)
        assert summary.upstreams.runs == len(expected)
        assert (summary.foreign_tokens, summary.duplicate_tokens) == (0, 0)
        assert sum(second.tokens for second in summary.seconds) == summary.tokens


def test_processes_share_the_calls(start_engine):
    address = start_engine()
    (summary,) = ShardedLoadRun(PLAN, [Variant("v", (address,), (address,))], processes=2).run()
    expected = plan_arrivals(PLAN)
    assert sum(kind.answered for kind in summary.kinds.values()) == len(expected)
    assert summary.tokens == sum(each.output_tokens for each in expected)
    assert summary.first_token.count == summary.upstreams.runs == len(expected)
    assert summary.token_gap.count == summary.tokens - len(expected)
    assert sum(second.arrived for second in summary.seconds) == len(expected)


def test_open_calls_are_counted_as_far_as_they_came(start_engine):
    address = start_engine()
    plan = LoadPlan(
        workspaces=("clerks",),
        model="m",
        duration_s=1.0,
        rate_per_s=5.0,
        seed=3,
        check_share=0.0,
        summary_tokens_median=4000.0,
        summary_deadline_s=0.5,
    )
    (summary,) = LoadRun(plan, [Variant("v", (address,))], LoadOptions(drain_s=1.0)).run()
    kind = summary.kinds["summary"]
    assert summary.unfinished == kind.calls == kind.deadline_misses
    assert summary.tokens == sum(second.tokens for second in summary.seconds) > kind.calls


def test_calls_to_a_closed_port_are_broken():
    unreachable = Variant("unreachable", (Address("127.0.0.1", find_free_port()),))
    plan = LoadPlan(**{**PLAN.__dict__, "duration_s": 0.5})
    (summary,) = LoadRun(plan, [unreachable]).run()
    assert summary.failures == {"ConnectionRefusedError": len(plan_arrivals(plan))}
