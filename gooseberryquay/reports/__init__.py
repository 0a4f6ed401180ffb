"""Report service-level burn, metrics and logs."""

from gooseberryquay.reports.burn_report import BurnReport, build_burn_report

__all__ = ["BurnReport", "build_burn_report"]
