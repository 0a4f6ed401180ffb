"""Measurement of the CPU time that an entry spends per relayed token."""
