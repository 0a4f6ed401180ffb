"""Run the command line as `python -m gooseberryquay`."""

from gooseberryquay.early_signals import ignore_sighup

ignore_sighup()

from gooseberryquay.cli import main  # noqa: E402

main()
