"""Limits of an organisation over all entries."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrganisationLimit:
    """Limits from the effective settings; infinite means no limit."""

    requests_per_s: float = math.inf
    tokens_per_s: float = math.inf
    concurrent: float = math.inf
