"""Move the traffic of a service to another software version, within bounds."""
