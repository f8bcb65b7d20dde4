"""`python -m geraniumrail` is the program `geraniumrail`."""

from geraniumrail.commands.main import run

run()
