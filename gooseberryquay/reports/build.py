"""Identity of the running build: the package's version and the commit of its sources."""

from collections.abc import Iterator
from pathlib import Path

from gooseberryquay import __version__

__all__ = ["build_fields", "commit_of"]

# Git replaces it in an exported archive, which has no repository.
ARCHIVED_COMMIT = "$Format:%H$"
COMMIT_DIGITS = 40
HEX_DIGITS = frozenset("0123456789abcdef")
REFERENCE = "ref: "
LINK = "gitdir: "


def build_fields() -> dict[str, str | None]:
    """Return the version and, if it is known, the commit that the sources were taken from."""
    commit = commit_of(Path(__file__).resolve().parents[2], ARCHIVED_COMMIT)
    return {"version": __version__, "commit": commit}


def commit_of(root: Path, archived: str) -> str | None:
    """Return the commit named in an archive or checked out in a folder, or None.

    Changes that were not committed are not told. Only files are read, as starting a process costs
    time.
    """
    if _is_commit(archived):
        return archived
    try:
        return _head_of(root / ".git")
    except (OSError, ValueError):
        return None


def _head_of(link: Path) -> str | None:
    folder = link
    if link.is_file():
        folder = link.parent / link.read_text().removeprefix(LINK).strip()
    head = (folder / "HEAD").read_text().strip()
    if not head.startswith(REFERENCE):
        return head if _is_commit(head) else None
    name = head.removeprefix(REFERENCE)
    return next((each for each in _commits_named(folder, name) if _is_commit(each)), None)


def _commits_named(folder: Path, name: str) -> Iterator[str]:
    """Yield what files state of a reference; a linked working tree has it in the common folder."""
    common = folder / "commondir"
    folders = [folder]
    if common.is_file():
        folders.append(folder / common.read_text().strip())
    for each in folders:
        if (each / name).is_file():
            yield (each / name).read_text().strip()
    for each in folders:
        if (each / "packed-refs").is_file():
            for line in (each / "packed-refs").read_text().splitlines():
                commit, _, reference = line.partition(" ")
                if reference == name:
                    yield commit


def _is_commit(text: str) -> bool:
    return len(text) == COMMIT_DIGITS and HEX_DIGITS.issuperset(text)
