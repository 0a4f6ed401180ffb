"""Experiments with whole fleets of real processes at today's size."""
