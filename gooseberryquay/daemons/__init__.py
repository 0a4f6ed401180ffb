"""Assemble the components of an entry and run it as a daemon."""
