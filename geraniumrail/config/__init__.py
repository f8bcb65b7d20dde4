"""The daemon's YAML file as frozen dataclasses; errors name file, line and key."""
