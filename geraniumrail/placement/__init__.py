"""Chooses instances by price and risk, and what to save when instances are reclaimed."""
