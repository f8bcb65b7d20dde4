"""A planned stop of an entry."""

import dataclasses

from geraniumrail.forwarding.admitted import Admitted


@dataclasses.dataclass(frozen=True)
class PlannedStop:
    """What the entry still takes: nothing that could outlive it."""

    began_at: float
    ends_at: float  # all answers are due by then; seconds of the same clock
    new_streams_s: float  # how long new streams are taken

    def takes(self, admitted: Admitted, now: float) -> bool:
        """Returns whether a request is taken.

        Streams are taken at first, since most are over long before their time.

        :param admitted: the request.
        :param now: seconds of the same clock.
        """
        if admitted.route.gap_s > 0:
            return now < self.began_at + self.new_streams_s
        return admitted.ends_at <= self.ends_at
