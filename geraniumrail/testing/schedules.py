"""Seeded schedules that `scripts/histories` runs."""

from collections.abc import Callable

from geraniumrail.consensus import testing as consensus
from geraniumrail.control import testing as control
from geraniumrail.entry import testing as bookings
from geraniumrail.testing import streams

Schedule = tuple[str, Callable[[int], object]]

SCHEDULES: tuple[Schedule, ...] = (
    ('bookings', bookings.run_schedule),
    ('consensus', consensus.run_schedule),
    ('streams', streams.run_schedule),
    ('settings', control.check_settings_schedule),
    ('orders', control.check_order_schedule),
)
