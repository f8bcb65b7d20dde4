"""Log events of the stand-ins."""

from absl import logging

from geraniumrail.core.events import Event

ANNOUNCE_FAILED = Event.define(
    1600, 'standins.announce_failed', 'an entry did not take an announcement', logging.WARNING
)
LEAVING = Event.define(1601, 'standins.leaving', 'the server announced that it is leaving')
STOPPED = Event.define(1602, 'standins.stopped', 'the server stopped')
ORDER_REFUSED = Event.define(
    1603, 'standins.order_refused', 'an order with an old fencing number was refused'
)
FAULT_SET = Event.define(1604, 'standins.fault_set', 'a test switched a fault on or off')
