"""The exception tree: every failure is a type with a stable name and an HTTP status."""
