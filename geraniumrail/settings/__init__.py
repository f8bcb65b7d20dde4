"""The settings tree: schema, validation, change, resolve and explain."""
