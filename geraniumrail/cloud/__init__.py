"""Clients of the platform: cloud API and weight store."""
