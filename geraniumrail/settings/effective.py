"""The values in force for one organisation, service and route."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Effective:
    """One attribute for each key of the schema, in the order of the schema."""

    kind: str
    version: str
    fencing: str
    outcome_path: str
    repeatable: bool
    traffic_class: str
    weight: float
    tokens_per_s: float
    requests_per_s: float
    max_concurrent: int
    queue_limit: int
    retry_budget: float
    first_token_ms: int
    between_tokens_ms: int
    first_token_timeout_ms: int
    between_tokens_timeout_ms: int
    deadline_ms: int
    review_completion_s: float
    canary_share: float
    on_demand_share: float
    keep_for_s: float
    max_body_bytes: int
