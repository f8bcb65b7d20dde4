"""The `geraniumrail` command line."""
