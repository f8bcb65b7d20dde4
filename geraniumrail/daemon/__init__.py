"""One process: its roles, servers, signals and metrics."""
