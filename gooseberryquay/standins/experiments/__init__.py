"""Experiments with fleets of real processes at the size of the current deployment."""
