"""Run the entry as `python -m gooseberryquay.daemons`, without the rest of the command line."""

from gooseberryquay.early_signals import ignore_sighup

ignore_sighup()

from gooseberryquay.daemons.platform_commands import run_platform_entry  # noqa: E402

run_platform_entry()
