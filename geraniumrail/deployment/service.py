"""A service and how many backend servers of it may be ordered."""

import dataclasses

from geraniumrail.core.codec import record


@record
class EngineLimits:
    """What the engines of a service can hold and do."""

    slots: int  # requests in one batch
    kv_tokens: int  # memory of running requests and cached prompt parts
    kv_token_bytes: int = 0
    transfer_mbps: float = 0  # between two engines
    transfers: bool = False  # KV cache of a running request can be sent to another engine
    backups: bool = False  # KV cache can be sent as it grows
    handle_s: float = 0  # how long the copy of a request that was moved is kept
    stride: int = 1  # tokens in one event


@record
class Scaling:
    """Bounds and prices of backend servers that are ordered by number and data centre."""

    least: int  # in each data centre, reclaimable ones included
    most: int
    boot_s: float  # from the order until it serves
    reclaimable_price: float = 0  # part of the price of an on-demand one; 0: not offered
    price_by_data_centre: dict[str, float] = dataclasses.field(default_factory=dict)


@record
class ServiceSpec:
    """One service of a configuration."""

    name: str
    health_path: str = '/'
    max_connections: int = 0  # of all entries together to one backend server; 0: no limit
    cold_start_s: float = 0  # for which a backend server is cold after its start
    cold_per_s: float = 0  # requests a second that a cold one takes from all entries; 0: no limit
    engine: EngineLimits | None = None  # None: a plain service
    scaling: Scaling | None = None
