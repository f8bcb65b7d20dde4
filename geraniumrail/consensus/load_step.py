"""Log lines of the steps of a start, to tell what takes the memory and the time."""

import contextlib
import resource
import time
from collections.abc import Iterator

from geraniumrail.consensus import events
from geraniumrail.core.events import log

_BYTES_PER_KIB = 1024


@contextlib.contextmanager
def logged_step(step: str, size: int) -> Iterator[None]:
    """Logs the duration of a step and the peak memory of the process after it.

    :param step: its name.
    :param size: bytes that it works on.
    """
    began = time.monotonic()
    yield
    log(
        events.LOAD_STEP,
        step=step,
        bytes=size,
        seconds=round(time.monotonic() - began, 4),
        peak_bytes=peak_memory_bytes(),
    )


def peak_memory_bytes() -> int:
    """Returns the largest resident set of this process so far; source: getrusage on Linux."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _BYTES_PER_KIB
