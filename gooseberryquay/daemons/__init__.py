"""Wire the parts of an entry and run it as a daemon."""
