from result import Err, Ok

from gooseberryquay.contracts.settings_file import load_settings, parse_settings
from gooseberryquay.ids import OperationName, ServiceId, UpstreamId

BASE = """
[service:yield-model]
kind = model
[service:ledger-app]
kind = plain
operations = post-weights, find-lot
never_repeat = post-weights
[site:sask-central]
zones = sask-a, sask-b
[workspace:clerks]
weight = 2
[upstream:yield-1]
service = yield-model
zone = sask-a
address = 127.0.0.1:9001
[platform]
address = 127.0.0.1:9000
"""


def _problems_of(base, overlay=None):
    parsed = parse_settings(("base.ini", base), overlay and ("overlay.ini", overlay))
    match parsed:
        case Err(problems):
            return problems
        case Ok(_):
            return []


def test_complete_file_is_accepted():
    settings = parse_settings(("base.ini", BASE)).unwrap()
    assert settings.declaration.upstreams[UpstreamId("yield-1")].address.port == 9001
    ledger = settings.declaration.services[ServiceId("ledger-app")]
    assert ledger.has_operation(OperationName("find-lot"))


def test_every_problem_is_reported_at_once():
    base = BASE + "[upstream:x]\nservice = none\nzone = nowhere\naddress = bad\n[what]\na = 1\n"
    base += "[upstream:y]\nservice = none\nzone = nowhere\naddress = 127.0.0.1:1\nspeed = 3\n"
    problems = _problems_of(base.replace("weight = 2", "weight = 0"))
    assert {(each.section, each.key) for each in problems} == {
        ("upstream:x", "address"),
        ("what", ""),
        ("upstream:y", "speed"),
        ("workspace:clerks", "weight"),
    }
    assert all(each.file == "base.ini" and each.reason for each in problems)


def test_unknown_references_are_reported():
    base = BASE + "[upstream:y]\nservice = none\nzone = nowhere\naddress = 127.0.0.1:1\n"
    assert {each.key for each in _problems_of(base)} == {"service", "zone"}


def test_overlay_changes_an_address():
    overlay = "[upstream:yield-1]\naddress = 127.0.0.1:9100\n"
    settings = parse_settings(("base.ini", BASE), ("overlay.ini", overlay)).unwrap()
    assert settings.declaration.upstreams[UpstreamId("yield-1")].address.port == 9100


def test_overlay_that_repeats_a_value_of_the_base_is_an_error():
    problems = _problems_of(BASE, "[upstream:yield-1]\naddress = 127.0.0.1:9001\n")
    assert [(each.file, each.key) for each in problems] == [("overlay.ini", "address")]


def test_overlay_may_not_declare_a_workspace():
    problems = _problems_of(BASE, "[workspace:more]\nweight = 1\n")
    assert [each.section for each in problems] == ["workspace:more"]


def test_each_missing_file_is_a_problem_that_names_it():
    problems = load_settings("no-base.ini", "no-overlay.ini").unwrap_err()
    assert [str(each).partition(":")[0] for each in problems] == ["no-base.ini", "no-overlay.ini"]


def test_problem_names_file_section_key_value_and_reason():
    (problem,) = _problems_of(BASE.replace("weight = 2", "weight = 0"))
    text = str(problem)
    assert text.startswith("base.ini: [workspace:clerks] weight = '0': ")
    assert "greater than or equal to 1" in text
