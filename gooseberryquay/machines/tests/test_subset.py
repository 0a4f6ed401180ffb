from collections import Counter

from gooseberryquay.machines.subset import SubsetRule
from gooseberryquay.machines.tests.choice_builders import (
    SERVICE,
    MutableConfiguration,
    build_configuration,
    build_table,
    build_upstream,
)

SIZE = 148


def _fleet(count, zones=12):
    return [build_upstream(each, zone=f"zone-{each % zones}") for each in range(count)]


def test_everything_is_used_at_today_size():
    upstreams = _fleet(9, zones=3)
    assert set(SubsetRule("entry-1", SIZE).choose(upstreams)) == set(upstreams)


def test_target_size_is_bounded_spread_over_zones_and_covers_every_upstream():
    upstreams = _fleet(4800)
    readers = Counter()
    for entry in range(480):
        chosen = SubsetRule(f"entry-{entry}", SIZE).choose(upstreams)
        assert len(set(chosen)) == SIZE
        zones = Counter(each.zone for each in chosen)
        assert max(zones.values()) - min(zones.values()) <= 1
        readers.update(each.id for each in chosen)
    assert len(readers) == 4800
    assert max(readers.values()) < 4 * SIZE * 480 / 4800


def test_loss_of_one_upstream_changes_little():
    upstreams = _fleet(1200)
    rule = SubsetRule("entry-1", SIZE)
    before = rule.choose(upstreams)
    after = rule.choose([each for each in upstreams if each is not before[0]])
    assert len(set(before) - set(after)) <= 2


def test_entries_that_share_an_upstream_are_counted_by_subset():
    configuration = MutableConfiguration(build_configuration(_fleet(480, zones=3)))
    table = build_table(configuration, size=48)
    assert table.sharing_entries(SERVICE, 100) == 10.0
    assert table.sharing_entries(SERVICE, 4) == 1.0
