"""Applies commands to the tables, one function for each type of command."""

import functools

from geraniumrail.errors.state import StateError
from geraniumrail.state.tables import Tables


class UnknownCommandError(StateError):
    """The log holds a command that this version does not know."""

    type_name = 'unknown_command'
    template = 'command {name} is not known to this version'


@functools.singledispatch
def apply(command: object, tables: Tables) -> object:
    """Changes the tables and returns the result.

    :param command: a record of `state.commands`.
    :param tables: the live tables.
    :raises UnknownCommandError: for other types.
    :raises GeraniumrailError: if the command is refused; then nothing has changed.
    """
    raise UnknownCommandError(name=type(command).__name__)
