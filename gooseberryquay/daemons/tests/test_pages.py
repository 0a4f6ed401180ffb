"""Documentation names only existing commands and files, and covers all failures and settings."""

import re
from pathlib import Path

import pytest

from gooseberryquay import errors
from gooseberryquay.cli import Commands
from gooseberryquay.contracts.settings_file import load_settings
from gooseberryquay.contracts.settings_reference import write_settings_reference

ROOT = Path(__file__).parents[3]
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])
COMMAND = re.compile(r"(?:^ {4,}|`)(?:\.venv/bin/)?gooseberryquay ([a-z_]+)(?: ([a-z_]+))?", re.M)
TEST_FILE = re.compile(r"`?((?:daemons|links|machines|postings|reports|standins|zones)/[\w/]+\.py)")
LINK = re.compile(r"\]\(([\w./-]+\.md)\)")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_documented_commands_exist(page):
    commands = Commands()
    for group, name in COMMAND.findall(page.read_text()):
        found = getattr(commands, group, None)
        assert found is not None, f"{page.name}: gooseberryquay {group}"
        if not callable(found):
            assert hasattr(found, name), f"{page.name}: gooseberryquay {group} {name}"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_named_files_and_links_exist(page):
    text = page.read_text()
    for name in TEST_FILE.findall(text):
        assert (ROOT / "gooseberryquay" / name).exists(), f"{page.name}: {name}"
    for link in LINK.findall(text):
        assert (page.parent / link).exists(), f"{page.name}: {link}"


def test_every_failure_is_explained_to_operators():
    text = (ROOT / "docs" / "OPERATIONS.md").read_text()
    for failure in errors.Failure.__subclasses__():
        assert f"`{failure.type}`" in text
        assert str(failure.status) in text


def test_settings_page_matches_the_generated_reference():
    assert (ROOT / "docs" / "SETTINGS.md").read_text() == write_settings_reference()


@pytest.mark.parametrize(
    ("base", "overlay"),
    [
        ("prairie-basin/base.ini", "prairie-basin/sask-central.ini"),
        ("tatueringsnamnden/base.ini", "tatueringsnamnden/vastra-gotaland.ini"),
    ],
)
def test_example_deployments_are_valid(base, overlay):
    examples = ROOT / "examples"
    assert load_settings(examples / base, examples / overlay).is_ok()
