"""Failures of an operator's request, as seen by the command line."""

from geraniumrail.errors.base import GeraniumrailError


class OperatorError(GeraniumrailError):
    """A failure of one operator request."""


class ControlUnreachableError(OperatorError):
    """No control member took the request; it certainly changed nothing."""

    type_name = 'control_unreachable'
    status = 503
    template = 'no control member answered within {deadline_s} s; nothing was changed ({reason})'


class OperatorOutcomeUnknownError(OperatorError):
    """The request was sent and may have been carried out."""

    type_name = 'operator_outcome_unknown'
    status = 502
    template = 'the request may have been carried out ({reason}); it is safe to send it again'


class AnswerRefusedError(OperatorError):
    """A control member refused the request; the fields are those of its answer."""

    type_name = 'refused'
    status = 400
    template = '{message}'


class AnswerConflictError(AnswerRefusedError):
    """The request lost against another change or contradicts the current state."""

    type_name = 'conflict'
    status = 409


class MissingOptionError(OperatorError):
    """A command lacks an option."""

    type_name = 'missing_option'
    template = '{option} or the variable {variable} is needed'


class BadAssignmentError(OperatorError):
    """A command's argument is not of the form KEY=VALUE."""

    type_name = 'bad_assignment'
    template = '{text} is not of the form KEY=VALUE'
