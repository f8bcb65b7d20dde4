"""Levels of the settings tree."""

import enum


class Level(enum.StrEnum):
    """The kind of node that a path names; the text is shown to operators."""

    ROOT = 'the root'
    SHARED_SERVICE = '/*/service'
    SHARED_ROUTE = '/*/service/route'
    ORGANISATION = '/organisation'
    SERVICE = '/organisation/service'
    ROUTE = '/organisation/service/route'


EVERYWHERE = tuple(Level)
LIMITS = (Level.ROOT, Level.ORGANISATION)
SHARED = (Level.ROOT, Level.SHARED_SERVICE)
SERVICE_ONLY = (Level.SHARED_SERVICE,)
SERVICES = (Level.SHARED_SERVICE, Level.SHARED_ROUTE, Level.SERVICE, Level.ROUTE)
ROOT_ONLY = (Level.ROOT,)
