"""Stand-ins for the users' platform: object store, model engines and plain services."""
