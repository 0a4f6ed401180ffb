"""Serving path from a request's arrival to its final answer, free of any protocol's names."""
