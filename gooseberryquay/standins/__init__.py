"""Stand-ins for external systems, and experiments on whole fleets under load and faults."""
