"""Why a version move ended."""

import enum


class EndPhase(enum.StrEnum):
    """How a move ended."""

    done = 'done'
    taken_back = 'taken_back'
    cancelled = 'cancelled'


class EndReason(enum.StrEnum):
    """Why a move ended that way."""

    evidence = 'evidence'  # done: watched at full share without a fault
    error_rate = 'error_rate'
    latency = 'latency'
    breaker = 'breaker'
    deadline = 'deadline'  # too little evidence when the deadline came
    operator = 'operator'
