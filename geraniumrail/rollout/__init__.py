"""Decides version moves: outcome counts, circuit breakers, sequential test, move controller."""
