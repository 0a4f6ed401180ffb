from gooseberryquay.ids import ChangeId, Revision
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_change import AcceptedChange, DeclarationReplaced
from gooseberryquay.zones.local_configuration import Adoption, LocalConfiguration
from gooseberryquay.zones.tests.builders import make_declaration, make_upstream, zone_out


def _configuration(revision):
    return Configuration(revision=Revision(revision), declaration=make_declaration())


def _accepted(revision, change=None):
    return AcceptedChange(
        revision=Revision(revision),
        author="op",
        change_id=ChangeId(str(revision)),
        change=change or zone_out(),
    )


def _held(revision):
    held = LocalConfiguration()
    held.adopt(_configuration(revision))
    return held


def test_older_and_equal_configurations_are_not_taken():
    held = _held(5)
    assert [held.adopt(_configuration(each)) for each in (4, 5)] == [Adoption.KNOWN] * 2
    assert held.revision() == 5


def test_changes_are_taken_in_order_and_only_once():
    held = _held(5)
    assert held.apply([_accepted(5), _accepted(6)]) is Adoption.NEWER
    assert held.apply([_accepted(6)]) is Adoption.KNOWN
    assert held.revision() == 6
    assert not held.current().may_get_work(make_upstream("yield-0"))


def test_gap_and_missing_snapshot_leave_the_held_revision():
    held = _held(5)
    assert held.apply([_accepted(7)]) is Adoption.GAP
    assert held.apply([_accepted(6, DeclarationReplaced())]) is Adoption.GAP
    assert held.revision() == 5


def test_confirmation_of_a_revision_that_is_not_held_does_not_count():
    held = _held(5)
    held.confirm(Revision(6), 0.0)
    assert held.confirmed_age_s() > 1e6
    held.confirm(Revision(5), 1.0)
    assert 1.0 <= held.confirmed_age_s() < 1e6
