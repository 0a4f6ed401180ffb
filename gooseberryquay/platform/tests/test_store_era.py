import pytest

from gooseberryquay.platform.store_era import StoreEra


@pytest.mark.parametrize(
    ("eras", "rises"),
    [
        (["1", "1"], 0),
        (["1", "2"], 1),
        (["1", "3", "4"], 2),
        (["2", "1", "2"], 0),
        (["1", "x", "", "-2", "2"], 1),
        ([], 0),
    ],
)
def test_each_rise_of_the_era_is_noticed_once_and_late_answers_are_not(eras, rises):
    era, noticed = StoreEra(), []
    era.on_rise(lambda: noticed.append(1))
    era.observe([("content-type", "x")])
    for each in eras:
        era.observe([("store-era", each)])
    assert len(noticed) == rises
