"""Keeps requests away from the backend servers that would crash on them."""
