"""Stand-ins for the systems around geraniumrail, each run as its own process."""
