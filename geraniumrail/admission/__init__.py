"""Concurrency limits at plain services, and the requests that wait for a place there."""
