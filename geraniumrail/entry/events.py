"""Log events of the entry role."""

from absl import logging

from geraniumrail.core.events import Event

CONTROL_FOLLOWED = Event.define(
    1300,
    'entry.control_followed',
    'The entry follows a control leader.',
)
CONTROL_LOST = Event.define(
    1301,
    'entry.control_lost',
    'The stream to the control leader broke or went silent.',
    logging.WARNING,
)
LEASE_LOST = Event.define(
    1302,
    'entry.lease_lost',
    'The settings lease ran out; requests are answered with not_run.',
    logging.WARNING,
)
LEASE_GAINED = Event.define(1303, 'entry.lease_gained', 'The entry may serve.')
REVISION_APPLIED = Event.define(
    1304,
    'entry.revision_applied',
    'The entry serves a new settings revision.',
)
STREAM_RESUMED = Event.define(
    1305,
    'entry.stream_resumed',
    'An attempt was lost; the request goes on at another backend server.',
    logging.WARNING,
)
BOOKING_DISPATCHED = Event.define(
    1306,
    'entry.booking_dispatched',
    'The dispatch of a booking is in the log; it is sent now.',
)
BOOKING_FINISHED = Event.define(
    1307,
    'entry.booking_finished',
    'The outcome of a booking is in the log.',
)
BOOKING_RELEASED = Event.define(
    1308,
    'entry.booking_released',
    'An attempt certainly did not run; the booking may be dispatched again.',
)
BOOKING_TAKEN_OVER = Event.define(
    1309,
    'entry.booking_taken_over',
    'This entry took over a booking of a lost entry.',
    logging.WARNING,
)
PLANNED_STOP = Event.define(1310, 'entry.planned_stop', 'A planned stop has begun or moved on.')
NOTICE_FAILED = Event.define(
    1311,
    'entry.notice_failed',
    'An entry did not answer a notice about leaving backend servers.',
    logging.WARNING,
)
BACKEND_LEAVING = Event.define(
    1312,
    'entry.backend_leaving',
    'A backend server announced that it leaves; it gets no new work from this entry.',
)
TASK_FAILED = Event.define(
    1313,
    'entry.task_failed',
    'A background task met a failure and goes on.',
    logging.WARNING,
)
BOOKING_MOVED_ON = Event.define(
    1314,
    'entry.booking_moved_on',
    'The log has another owner or phase of a booking than this entry; the log is read again.',
)
CANCEL_FAILED = Event.define(
    1315,
    'entry.cancel_failed',
    'An engine did not answer the cancellation of an abandoned attempt.',
)
DEPLOYMENT_APPLIED = Event.define(
    1316,
    'entry.deployment_applied',
    'The entry serves a new version of the configuration.',
)
BACKEND_DROPPED = Event.define(
    1317,
    'entry.backend_dropped',
    'Control has said that a backend server has left or is lost; it gets no new work.',
)
EVACUATIONS_APPLIED = Event.define(
    1330,
    'entry.evacuations_applied',
    'The entry sends no requests to the backend servers of these data centres.',
)
