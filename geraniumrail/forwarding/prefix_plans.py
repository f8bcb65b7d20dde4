"""What an entry expects engines to have cached of one prompt."""

from geraniumrail.forwarding.parts import Parts
from geraniumrail.routing.prefix_value import Pool, PrefixPlan


def prefix_plan(
    parts: Parts, service: str, shared: tuple[str, ...], sizes: tuple[int, ...], *, is_first: bool
) -> PrefixPlan | None:
    """Returns where shared parts are expected, or None if parts are placed by name alone.

    They are weighed where the engines' memory is configured and some server has reported a work
    factor: on servers that work alike, one trial day each served no more and had worse seconds.

    :param parts: of the entry.
    :param service: name of the service.
    :param shared: names of the leading parts that other requests may share.
    :param sizes: tokens of each part, those before it included.
    :param is_first: before the first attempt of a request, whose parts are counted once.
    """
    view, now = parts.view, parts.clock.now()
    spec = view.table.services_by_name.get(service)
    if spec is None or spec.engine is None or spec.engine.kv_tokens <= 0:
        return None
    if not view.knowledge.speeds.shares_machines:
        return None
    value = view.knowledge.prefix_values[service]
    if is_first:
        value.observe(shared, now)
    # Also those that take nothing at this moment, so that the places of parts stay.
    instances = [each.instance for each in view.servers(service) if each.state == 'serving']
    instances.sort()
    pool = Pool(
        instances=instances,
        kv_tokens=spec.engine.kv_tokens,
        requests=view.knowledge.mean_occupancy * spec.engine.slots,
        entries=max(1, len(view.entries)),
    )
    return value.plan(shared, sizes, pool, now)
