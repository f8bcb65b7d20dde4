"""Serving system for language model and application traffic on reclaimable instances."""
