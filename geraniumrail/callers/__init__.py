"""The HTTP front for callers and for backend servers that announce themselves."""
