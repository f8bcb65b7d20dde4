"""The control role: replicated state, registry, publishing, ownership and version moves."""
