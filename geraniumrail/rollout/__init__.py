"""Judges new versions: outcome counts, breaker, sequential test and move controller."""
