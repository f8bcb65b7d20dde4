"""Forwards callers' requests unchanged, by the routes of a configuration."""
