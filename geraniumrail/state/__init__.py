"""The replicated state machine: what survives a crash, and the commands that change it."""
