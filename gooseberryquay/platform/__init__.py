"""Adapter to the users' platform: translates its names, formats and calls; no policy."""
