"""The entry role: takes callers' requests and carries them to backend servers."""
