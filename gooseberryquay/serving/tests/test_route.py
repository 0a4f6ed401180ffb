import random

from gooseberryquay.serving.route import Destination, RouteKind
from gooseberryquay.serving.tests.builders import KEY, LEDGER, MODEL, build_route, build_routing


def test_route_with_the_longest_matching_prefix_is_selected():
    table = build_routing(
        build_route(name="short", path_prefix="/a/"),
        build_route(name="long", path_prefix="/a/b/"),
        build_route(name="elsewhere", path_prefix="/a/b/c/", host="b.example"),
    )
    assert table.route_of("a.example", "/a/b/c/d").name == "long"
    assert table.route_of("a.example", "/a/x").name == "short"
    assert table.route_of("a.example", "/a") is None
    assert table.route_of("c.example", "/a/b/") is None


def test_services_are_selected_by_weight():
    route = build_route(destinations=(Destination(MODEL, 9.0), Destination(LEDGER, 1.0)))
    rng = random.Random(5)
    drawn = [route.pick_service(rng) for _ in range(1000)]
    assert 850 < drawn.count(MODEL) < 950


def test_only_idempotent_and_resumable_requests_are_retryable():
    assert build_route(RouteKind.IDEMPOTENT).is_retryable
    assert not build_route(RouteKind.NON_IDEMPOTENT).is_retryable
    assert not build_route(RouteKind.STREAMING).is_retryable
    assert build_route(RouteKind.STREAMING, is_resumable=True).is_retryable


def test_workspace_is_found_by_its_key():
    table = build_routing()
    assert table.workspace_of(KEY).id == "studio"
    assert table.workspace_of("other") is None
