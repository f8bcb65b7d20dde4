"""Exit codes of the command line; docs and `--help` list them."""

import enum
import functools

from geraniumrail.errors.config import ConfigError
from geraniumrail.errors.operator import (
    AnswerConflictError,
    AnswerRefusedError,
    BadAssignmentError,
    ControlUnreachableError,
    MissingOptionError,
    OperatorOutcomeUnknownError,
)
from geraniumrail.errors.settings import SettingsError, VersionConflictError


class ExitCode(enum.IntEnum):
    """What a program that runs a command may rely on."""

    OK = (0, 'done')
    FAILED = (1, 'an internal error')
    USAGE = (2, 'wrong arguments or a refused file')
    REFUSED = (3, 'the request was refused; nothing was changed')
    CONFLICT = (4, 'another change won or the state does not allow the request; read it again')
    UNREACHABLE = (5, 'no control member answered; nothing was changed')
    OUTCOME_UNKNOWN = (6, 'the request may have been carried out; it is safe to send it again')
    TAKEN_BACK = (7, 'the version move was rolled back')

    about: str

    def __new__(cls, number: int, about: str) -> 'ExitCode':
        """Creates a member.

        :param number: the exit code.
        :param about: description for operators.
        """
        member = int.__new__(cls, number)
        member._value_ = number
        member.about = about
        return member


@functools.singledispatch
def exit_code_of(failure: Exception) -> ExitCode:
    """Returns the exit code of a command that ends with an exception.

    :param failure: the exception.
    """
    return ExitCode.FAILED


@exit_code_of.register(ConfigError)
@exit_code_of.register(MissingOptionError)
@exit_code_of.register(BadAssignmentError)
def _usage(failure: Exception) -> ExitCode:
    return ExitCode.USAGE


@exit_code_of.register(SettingsError)
@exit_code_of.register(AnswerRefusedError)
def _refused(failure: Exception) -> ExitCode:
    return ExitCode.REFUSED


@exit_code_of.register(VersionConflictError)
@exit_code_of.register(AnswerConflictError)
def _conflict(failure: Exception) -> ExitCode:
    return ExitCode.CONFLICT


@exit_code_of.register(ControlUnreachableError)
def _unreachable(failure: ControlUnreachableError) -> ExitCode:
    return ExitCode.UNREACHABLE


@exit_code_of.register(OperatorOutcomeUnknownError)
def _unknown(failure: OperatorOutcomeUnknownError) -> ExitCode:
    return ExitCode.OUTCOME_UNKNOWN
