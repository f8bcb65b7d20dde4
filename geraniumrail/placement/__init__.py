"""Chooses instances by price and reclaim risk, and the streams to save before a reclaim."""
