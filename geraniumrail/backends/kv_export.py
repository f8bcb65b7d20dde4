"""A KV cache that an engine offers to another."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class KvExport:
    """Given to the engine that imports it."""

    handle: str
    tokens: int  # answer tokens covered
