"""Log events of the control role."""

from absl import logging

from geraniumrail.core.events import Event

ENTRY_JOINED = Event.define(1400, 'control.entry_joined', 'An entry opened its control stream.')
ENTRY_EXPIRED = Event.define(
    1401,
    'control.entry_expired',
    'The lease of an entry expired; callers no longer get its address.',
    logging.WARNING,
)
BACKEND_ADDED = Event.define(1402, 'control.backend_added', 'A backend server was announced.')
BACKEND_CHANGED = Event.define(
    1403,
    'control.backend_changed',
    'A backend server announced another state, version, address, models or adapters.',
)
BACKEND_GONE = Event.define(
    1404,
    'control.backend_gone',
    'The lease of a backend server expired, or it has left.',
    logging.WARNING,
)
BOOKING_REASSIGNED = Event.define(
    1405,
    'control.booking_reassigned',
    'A booking of a lost entry was assigned to another entry.',
    logging.WARNING,
)
MOVE_STEPPED = Event.define(1406, 'control.move_stepped', 'A version move changed its share.')
MOVE_ENDED = Event.define(1407, 'control.move_ended', 'A version move ended.')
IN_FORCE = Event.define(1408, 'control.in_force', 'A settings revision is in force everywhere.')
TASK_FAILED = Event.define(
    1409,
    'control.task_failed',
    'A task of the control role failed; a periodic task runs again.',
    logging.WARNING,
)
ORDER_SENT = Event.define(1410, 'control.order_sent', 'An order was sent to an engine.')
ORDER_FAILED = Event.define(
    1411,
    'control.order_failed',
    'An order to an engine failed.',
    logging.WARNING,
)
JOIN_FAILED = Event.define(
    1412,
    'control.join_failed',
    'A replica without a leader failed to get an answer to its request to join.',
    logging.WARNING,
)
MEMBER_REPAIRED = Event.define(
    1413,
    'control.member_repaired',
    'The leader added, promoted or removed a member of the group.',
    logging.WARNING,
)
REPAIR_REFUSED = Event.define(
    1414,
    'control.repair_refused',
    'A membership change failed and is retried.',
    logging.WARNING,
)
DUTY_TAKEN = Event.define(
    1415,
    'control.duty_taken',
    'The leader became the holder of the duties: usage reports and orders of backend servers.',
)
DUTY_REFUSED = Event.define(
    1416,
    'control.duty_refused',
    'A call of the duty holder was refused or got no answer; it is retried.',
    logging.WARNING,
)
USAGE_SENT = Event.define(1417, 'control.usage_sent', 'The usage of a window was reported.')
FLEET_ORDERED = Event.define(
    1418,
    'control.fleet_ordered',
    'A number of backend servers was ordered for a service in a data centre.',
)
DEPLOYMENT_ACCEPTED = Event.define(
    1419,
    'control.deployment_accepted',
    'A configuration, or a newer one, is in the replicated log.',
)
FLEET_PLANNED = Event.define(
    1420,
    'control.fleet_planned',
    'The number of backend servers of a service was planned, by data centre and kind.',
)
BACKEND_WITHDRAWN = Event.define(
    1421,
    'control.backend_withdrawn',
    'A backend server announced that it takes no more work.',
)
EVACUATION_SET = Event.define(
    1430,
    'control.evacuation_set',
    'An operator started or finished the evacuation of a data centre; it is in the log.',
)
EVACUATION_OUTDATED = Event.define(
    1431,
    'control.evacuation_outdated',
    'A change of an evacuation had no effect, since another change came before it.',
)
FLEET_LEFT_OUT = Event.define(
    1432,
    'control.fleet_left_out',
    'Backend servers of these data centres, which are or were evacuated, are left out of the plan.',
)
COLD_ALLOTTED = Event.define(
    1435,
    'control.cold_allotted',
    'Entries got rates for a cold backend server; `held` others have one already.',
)
COLD_ENDED = Event.define(
    1436, 'control.cold_ended', 'A backend server does not count as cold any more, or is gone.'
)
COLD_ASSUMED = Event.define(
    1437,
    'control.cold_assumed',
    'The backend servers of a data centre count as cold until they announce themselves.',
)
BACKEND_REPLACED = Event.define(
    1438,
    'control.backend_replaced',
    'Another backend server has started at the address of one that was listed; that one is gone.',
)
