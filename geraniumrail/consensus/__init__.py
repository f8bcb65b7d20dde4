"""Replicated log: storage, snapshots, elections, replication and membership."""
