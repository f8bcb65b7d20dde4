"""Log events of the process."""

from absl import logging

from geraniumrail.core.events import Event

STARTED = Event.define(1, 'daemon.started', 'The process serves the roles of its settings file.')
STOPPING = Event.define(2, 'daemon.stopping', 'The process got a signal and stops in order.')
STOPPED = Event.define(3, 'daemon.stopped', 'The process has stopped in order.')
RELOADED = Event.define(4, 'daemon.reloaded', 'The process has read its settings file again.')
RELOAD_REFUSED = Event.define(
    5,
    'daemon.reload_refused',
    'The changed settings file is refused; the process goes on with the earlier one.',
    logging.ERROR,
)
STOP_HANGS = Event.define(
    6,
    'daemon.stop_hangs',
    'A step of the stop took longer than the process is left; the next one begins.',
    logging.ERROR,
)
