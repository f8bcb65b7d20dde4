"""Runs a whole deployment as processes on one machine, for the demo and for failure tests."""
