"""An order to an engine."""

import dataclasses

ORDER_KINDS = ('load_version', 'load_model', 'load_adapter', 'unload', 'set_role')


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineOrder:
    """Fenced by (term, number): engines that enforce fencing refuse an older one."""

    term: int
    number: int
    kind: str  # one of ORDER_KINDS
    name: str
