"""Run the command line as `python -m gooseberryquay`."""

from gooseberryquay.early_signals import ignore_reload

ignore_reload()

from gooseberryquay.cli import main  # noqa: E402

main()
