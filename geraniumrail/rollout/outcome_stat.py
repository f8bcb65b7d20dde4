"""Request outcomes of one version that an entry counted during one second."""

from geraniumrail.core.codec import record


@record
class OutcomeStat:
    """Outcomes of one (service, version, route, organisation, load band) during one second.

    A latency sample is counted when it is known, so it may be in another second than the end of
    its request. Histograms are sorted (bucket, count) pairs of `rollout.histogram`.
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
