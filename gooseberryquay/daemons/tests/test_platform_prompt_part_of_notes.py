"""A part of a prompt that crashes engines, in prompts of streams that can't be resumed."""

import random

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.daemons.tests.prompt_part_builders import (
    BAD,
    ENTRIES,
    FIRST,
    OTHER,
    check_part_is_blocked,
)
from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.upstream_crash import CrashingPart


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=9, services=3)
    yield site
    site.stop()


@pytest.mark.parametrize("after_events", [0, 2])
@pytest.mark.parametrize(
    "parts", [(BAD, FIRST), (FIRST, BAD), (FIRST, BAD, OTHER), (FIRST, OTHER, BAD), (BAD,)]
)
def test_part_that_crashes_engines_is_blocked_and_its_neighbors_are_served(
    site, tmp_path, after_events, parts
):
    site.set_crashing_part(CrashingPart(BAD, after_events))
    with running_entries(site, tmp_path, ENTRIES) as entries:
        check_part_is_blocked(site, entries, "/note/1", parts)
