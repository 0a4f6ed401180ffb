"""Run the command line as `python -m gooseberryquay`."""

from gooseberryquay.cli import main

main()
