"""Serve language-model generations and plain services from a changing set of upstreams."""

__all__ = ["__version__"]

__version__ = "0.1.0"
