"""Sends the log of a process to standard output."""

import logging

from absl import flags
from absl import logging as absl_logging

from geraniumrail.core.log_writer import LogWriter


def write_log(level: str) -> None:
    """Writes structured lines that never block; an event loop must be running.

    :param level: absl name of the lowest level that is written.
    """
    flags.FLAGS.mark_as_parsed()  # absl warns before each line that its flags are not parsed
    root = logging.getLogger()
    root.handlers = [LogWriter()]
    absl_logger = absl_logging.get_absl_logger()
    absl_logger.handlers = []
    absl_logger.propagate = True
    absl_logging.set_verbosity(level)
