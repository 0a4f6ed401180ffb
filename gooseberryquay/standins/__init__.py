"""Stand in for the outside systems, and try whole fleets under load and faults."""
