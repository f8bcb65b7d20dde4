"""Final phases of a version move and their reasons."""

import enum


class EndPhase(enum.StrEnum):
    """Final phase of a move."""

    done = 'done'
    taken_back = 'taken_back'  # rolled back to the old version
    cancelled = 'cancelled'


class EndReason(enum.StrEnum):
    """Why a move ended in this phase."""

    evidence = 'evidence'  # done: no fault was found during the watch period at the largest share
    error_rate = 'error_rate'
    latency = 'latency'
    breaker = 'breaker'
    deadline = 'deadline'  # too little evidence at the deadline
    operator = 'operator'
