"""Refusals of the replicated state machine."""

from geraniumrail.errors.base import GeraniumrailError


class StateError(GeraniumrailError):
    """A command that changed nothing."""

    type_name = 'command_refused'
    status = 409


class NotOwnerError(StateError):
    """Another entry owns the booking now."""

    type_name = 'not_owner'
    template = 'booking {key} belongs to {owner}'


class WrongPhaseError(StateError):
    """The booking is not in the phase that the command needs."""

    type_name = 'wrong_booking_phase'
    template = 'booking {key} is {phase}'


class UnknownBookingError(StateError):
    """The booking is not in the state."""

    type_name = 'unknown_booking'
    status = 404
    template = 'booking {key} is not known'


class MoveConflictError(StateError):
    """Another move of the service is running, or the step does not follow the recorded one."""

    type_name = 'move_conflict'
    template = 'move {move_id}: {reason}'


class UnknownMoveError(StateError):
    """The move is not in the state."""

    type_name = 'unknown_move'
    status = 404
    template = 'move {move_id} is not known'


class MoveEndedError(StateError):
    """The move has its recorded end already."""

    type_name = 'move_ended'
    template = 'move {move_id} ended before: {phase} ({reason})'


class UnknownQuarantineError(StateError):
    """The quarantine is not in the state."""

    type_name = 'unknown_quarantine'
    status = 404
    template = 'quarantine {label} is not known'


class UnknownInstanceError(StateError):
    """No engine of this name is announced."""

    type_name = 'unknown_instance'
    status = 404
    template = 'no engine {instance} is announced'


class OrderSupersededError(StateError):
    """The engine was given a later order, so an earlier one is not repeated."""

    type_name = 'order_superseded'
    template = 'engine {instance} was given a later order than {order_id}'


class FixedSettingError(StateError):
    """The setting is changed by a version move, not by hand."""

    type_name = 'setting_changed_by_moves'
    template = 'node {node}: {key} is changed by version moves only'
