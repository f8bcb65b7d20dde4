"""Description of one instrument."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spec:
    """Name, unit (UCUM) and labels; `kind` is counter, gauge or histogram.

    `buckets` are the upper bounds of a histogram, in its unit.
    """

    name: str
    kind: str
    unit: str
    about: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()
