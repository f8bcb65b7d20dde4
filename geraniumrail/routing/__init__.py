"""Choice of a backend server for each request, from load and cache data that this entry keeps."""

from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.choice import choose
from geraniumrail.routing.decision import Decision
from geraniumrail.routing.events import log_decision
from geraniumrail.routing.prefixes import digest_prefixes
from geraniumrail.routing.request import LanguageRequest, PlainRequest, RouteRequest
from geraniumrail.routing.score_part import ScorePart

__all__ = (
    'Decision',
    'BackendTracker',
    'LanguageRequest',
    'PlainRequest',
    'RouteRequest',
    'ScorePart',
    'choose',
    'digest_prefixes',
    'log_decision',
)
