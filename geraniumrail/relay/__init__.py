"""Connections to backend servers through another entry, for an entry without a path of its own."""
