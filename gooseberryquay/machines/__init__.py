"""Choose upstreams, keep track of entries, and hold work back where it would do harm."""
