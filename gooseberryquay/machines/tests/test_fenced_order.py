import signal
import threading
import time

import pytest
from result import Err, Ok

from gooseberryquay.machines.fenced_order import OrderClient, OrderTiming
from gooseberryquay.machines.fenced_order_messages import (
    Order,
    OrderDone,
    OrderFenced,
    OrderKind,
    OrderNotSent,
)
from gooseberryquay.machines.lease import LeaseTaken
from gooseberryquay.machines.tests.member_builders import build_declaration, wait_until
from gooseberryquay.standins.engine import EngineStandIn
from gooseberryquay.standins.engine_settings import EngineSettings
from gooseberryquay.standins.platform_faults import Outage, PlatformFaults
from gooseberryquay.standins.process import CommandProcess, find_free_port

TIMING = OrderTiming(lease_s=1.5, delivery_s=0.3, response_timeout_s=20.0, wait_timeout_s=20.0)
OLD, NEW = Order(OrderKind.ROLE, "old"), Order(OrderKind.ROLE, "new")


class PausedClient(OrderClient):
    """Client that pauses between the lease check and the send until it is woken."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.is_paused = threading.Event()
        self.woken = threading.Event()

    def _renewed(self, lease):
        """Do not renew, as in a paused process."""
        return threading.Lock()

    def _before_send(self):
        self.is_paused.set()
        assert self.woken.wait(20.0)


@pytest.fixture
def engine_of():
    engines = []

    def add(checks_fencing, order_s=0.0):
        settings = EngineSettings(checks_fencing=checks_fencing, order_s=order_s)
        engines.append(EngineStandIn(settings))
        engines[-1].start()
        return engines[-1]

    yield add
    for engine in engines:
        engine.stop()


def _names(engine):
    return [order.name for order in engine.counts().orders]


def _start(client, upstream, order):
    outcome = []
    thread = threading.Thread(target=lambda: outcome.append(client.order(upstream, order)))
    thread.start()
    return thread, outcome


def test_paused_holder_is_refused_by_an_upstream_that_checks(platform, engine_of):
    engine = engine_of(checks_fencing=True)
    upstream = build_declaration("yield-1", engine.port)
    paused = PausedClient(platform, "a", timing=TIMING)
    thread, outcome = _start(paused, upstream, OLD)
    assert paused.is_paused.wait(20.0)
    assert OrderClient(platform, "b", timing=TIMING).order(upstream, NEW) == Ok(
        OrderDone(upstream.id, 2)
    )
    paused.woken.set()
    thread.join()
    assert outcome == [Err(OrderFenced(upstream.id, 1))]
    assert _names(engine) == ["new"]


def test_new_holder_waits_for_the_old_order_where_nobody_checks(platform, engine_of):
    engine = engine_of(checks_fencing=False)
    upstream = build_declaration("yield-1", engine.port, checks_fencing=False)
    paused = PausedClient(platform, "a", timing=TIMING)
    old_thread, _ = _start(paused, upstream, OLD)
    assert paused.is_paused.wait(20.0)
    new_thread, _ = _start(OrderClient(platform, "b", timing=TIMING), upstream, NEW)
    wait_until(lambda: '"b/' in platform.read("leases/upstream-yield-1").unwrap().value)
    time.sleep(TIMING.delivery_s)
    paused.woken.set()
    old_thread.join()
    new_thread.join()
    assert _names(engine) == ["old", "new"]


def test_alarm_ends_a_holder_that_wakes_after_its_lease(platform, platform_standin, engine_of):
    engine = engine_of(checks_fencing=False)
    holder = CommandProcess(
        *("members", "paused_holder", "--platform_port", str(platform_standin.port)),
        *("--upstream_port", str(engine.port), "--lease_s", "1.5", "--has_alarm"),
    ).start()
    upstream = build_declaration("engine", engine.port, checks_fencing=False)
    assert OrderClient(platform, "b", timing=TIMING).order(upstream, NEW).is_ok()
    holder.send_signal(signal.SIGCONT)
    assert holder.wait(20.0) == -signal.SIGALRM
    assert _names(engine) == ["new"]


def test_loads_from_the_weight_store_take_turns(platform, engine_of):
    timing = OrderTiming(lease_s=1.5, delivery_s=0.3, wait_timeout_s=0.5, weight_slots=1)
    slow = engine_of(checks_fencing=True, order_s=2.0)
    other = engine_of(checks_fencing=True)
    load = Order(OrderKind.LOAD, "model")
    first = OrderClient(platform, "a", timing=timing)
    thread, outcome = _start(first, build_declaration("slow", slow.port), load)
    wait_until(lambda: _names(slow))
    second = OrderClient(platform, "b", timing=timing)
    refused = second.order(build_declaration("other", other.port), load)
    assert isinstance(refused.unwrap_err(), LeaseTaken)
    thread.join()
    assert outcome[0].is_ok()
    assert second.order(build_declaration("other", other.port), load).is_ok()


def test_outage_of_the_platform_stops_orders(platform, platform_standin, engine_of):
    engine = engine_of(checks_fencing=True)
    platform_standin.set_faults(PlatformFaults(outage=Outage.REFUSE))
    client = OrderClient(platform, "a", timing=TIMING)
    assert client.order(build_declaration("yield-1", engine.port), NEW).is_err()
    assert _names(engine) == []


def test_unreachable_upstream_frees_the_lease(platform, engine_of):
    client = OrderClient(platform, "a", timing=TIMING)
    lost = client.order(build_declaration("yield-1", find_free_port()), OLD)
    assert isinstance(lost.unwrap_err(), OrderNotSent)
    engine = engine_of(checks_fencing=True)
    other = OrderClient(platform, "b", timing=OrderTiming(wait_timeout_s=0.1))
    assert other.order(build_declaration("yield-1", engine.port), NEW).is_ok()
