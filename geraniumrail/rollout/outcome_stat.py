"""What an entry saw of one version during one second."""

from geraniumrail.core.codec import record


@record
class OutcomeStat:
    """Counts of one (service, version, route, organisation, load band) during one second.

    Latency samples arrive when they are known, so they may belong to another second than the
    end of the same request. Histograms are sorted (bucket, count) pairs of `rollout.histogram`.
    """

    service: str
    version: str
    route: str
    organisation: str
    second: int
    load_band: int = 0  # load of the chosen backend server when the request was sent
    requests: int = 0  # requests that ended
    errors: int = 0
    first_token_sum_s: float = 0
    first_token_counts: tuple[tuple[int, int], ...] = ()
    between_tokens_sum_s: float = 0
    between_tokens_counts: tuple[tuple[int, int], ...] = ()
