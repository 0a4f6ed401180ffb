"""Stand-ins for the users' platform: its store, its model engines and its plain services."""
