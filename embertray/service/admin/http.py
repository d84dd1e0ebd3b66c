"""The operators' HTTP of a controller: readiness, metrics, tables, the channel; graceful shutdown and pace.

GET /live /ready /metrics /memory /tables /start /channel /proxies /level /cluster /control
/control/key?key=K; POST /drain, POST /pace?share=0.25 (slows the channel down), POST
/set-level?pin=essential (or release=1, forbid=NAME, allow=NAME). One request per connection, on loopback.
Operators' tools parse the JSON keys and texts, so these must not change.
"""

from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from . import actions, pages
from .server import PLAIN, Response, serve_request

NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405


class Route(NamedTuple):
    """A page.

    Attributes:
        method: The one method that it takes.
        page: A function (Service, query: name -> values) -> Response.
    """

    method: str
    page: Callable


async def serve_admin(service, stream):
    """Answers one request of an operator to a Service; a malformed one gets status 400 and one line."""
    await serve_request(stream, lambda request, body: answer(service, request))


def answer(service, request):
    """Returns the Response to an h11.Request."""
    target = urlsplit(request.target.decode("ascii", "replace"))
    route = ROUTES.get(target.path)
    if route is None:
        return Response(NOT_FOUND, PLAIN, f"no such page; there are {' '.join(ROUTES)}\n".encode())
    if request.method.decode() != route.method:
        return Response(METHOD_NOT_ALLOWED, PLAIN, f"{target.path} takes {route.method}\n".encode())
    return route.page(service, parse_qs(target.query, keep_blank_values=True))


ROUTES = {
    "/live": Route("GET", pages.live_page),
    "/ready": Route("GET", pages.ready_page),
    "/metrics": Route("GET", pages.metrics_page),
    "/memory": Route("GET", pages.memory_page),
    "/tables": Route("GET", pages.tables_page),
    "/start": Route("GET", pages.start_page),
    "/channel": Route("GET", pages.channel_page),
    "/proxies": Route("GET", pages.proxies_page),
    "/drain": Route("POST", actions.drain),
    "/pace": Route("POST", actions.pace),
    "/level": Route("GET", pages.level_page),
    "/set-level": Route("POST", actions.set_level),
    "/cluster": Route("GET", pages.cluster_page),
    "/control": Route("GET", pages.control_page),
    "/control/key": Route("GET", pages.control_key_page),
}
