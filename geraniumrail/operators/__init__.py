"""The HTTP interface for operators, used by the command line."""
