"""Run the entry as `python -m gooseberryquay.daemons`, without the rest of the command line."""

from gooseberryquay.daemons.platform_commands import run_platform_entry

run_platform_entry()
