"""Report the burn of service level objectives, metrics and logs."""

from gooseberryquay.reports.burn_report import BurnReport, build_burn_report

__all__ = ["BurnReport", "build_burn_report"]
