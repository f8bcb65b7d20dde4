"""Log events of the process."""

from geraniumrail.core.events import Event

STARTED = Event.define(1, 'daemon.started', 'The process serves the roles of its settings file.')
STOPPING = Event.define(2, 'daemon.stopping', 'The process got a signal and stops in order.')
STOPPED = Event.define(3, 'daemon.stopped', 'The process has stopped in order.')
