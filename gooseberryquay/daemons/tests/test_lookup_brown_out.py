"""Brown-outs of lookups, which fail or hang, under open-loop load with real processes."""

import pytest

from gooseberryquay.daemons.tests.brown_out_builders import assert_brown_out_is_not_amplified
from gooseberryquay.standins.experiments.brown_out import BrownOut

LOOKUP_KINDS = [each for each in BrownOut if not each.is_of_engines]


@pytest.mark.timeout(120)
@pytest.mark.parametrize("kind", LOOKUP_KINDS)
def test_brown_out_is_not_amplified_and_every_refusal_is_complete(kind):
    assert_brown_out_is_not_amplified(kind)
