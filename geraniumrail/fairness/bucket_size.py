"""Rate and capacity of the token bucket that keeps the limit of an organisation."""

import dataclasses

from geraniumrail.deployment.organisation import Organisation
from geraniumrail.fairness.slack import Slack

# Part of a limit by which the bucket refills faster. It covers what is granted and then not used,
# for example because a datagram is lost.
RATE_HEADROOM = 0.02


@dataclasses.dataclass(frozen=True)
class BucketSize:
    """Of all entries together."""

    rate_per_s: float
    capacity: float

    @classmethod
    def from_limit(cls, organisation: Organisation, headroom: float, slack: Slack) -> 'BucketSize':
        """Returns a bucket that never grants more than a limit tolerates in a window.

        Within each window an organisation may use its rate and its burst. The bucket refills by
        both in a window, so that an organisation that stays above its limit is admitted at no less
        than the limit; its capacity is what is tolerated beyond that.

        :param organisation: whose limit it is.
        :param headroom: part by which the limit may be exceeded.
        :param slack: tolerance for limits in tokens.
        """
        if not slack.window_s:
            scale = 1 + headroom
            return cls(organisation.rate_per_s * scale, max(1, organisation.burst * scale))
        allowed = organisation.rate_per_s * slack.window_s + organisation.burst
        rate_headroom = min(RATE_HEADROOM, headroom)
        extra = slack.tokens if organisation.in_tokens else 0
        return cls(
            rate_per_s=allowed * (1 + rate_headroom) / slack.window_s,
            capacity=max(1, allowed * (headroom - rate_headroom) + extra),
        )
