"""Serve language-model generations and plain services from upstreams that come and go."""

__all__ = ["__version__"]

__version__ = "0.1.0"
