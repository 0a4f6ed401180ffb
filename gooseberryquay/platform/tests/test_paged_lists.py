"""Lists that the store returns in pages."""

import json

import pytest
from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.connection_pool import ConnectionPool
from gooseberryquay.links.http_server import HttpServer, Response, Router
from gooseberryquay.links.work_pace import SpareWork
from gooseberryquay.platform.store import StoreObjectSource
from gooseberryquay.platform.store_era import StoreEra
from gooseberryquay.serving.object_source import SourceFailure

NAMED = [{"metadata": {"name": f"o-{number}", "revision": number}} for number in range(6)]
NAMELESS = {"metadata": {"revision": 9}}


@pytest.fixture
def read_pages():
    servers = []

    def read(pages):
        """Read a list whose page after each name is given; None stands for the first page."""
        router = Router()

        def get(request):
            items, has_more = pages[request.query.get("after")]
            document = {"items": items, "has_more": has_more, "at": 20}
            return Response(body=json.dumps(document).encode())

        router.add("GET", "/api/objects/{kind}", get)
        server = HttpServer("127.0.0.1", 0, router)
        server.start()
        servers.append(server)
        pool = ConnectionPool(1.0, 4.0, SpareWork())
        address = Address("127.0.0.1", server.port)
        return StoreObjectSource(pool, address, "streams", StoreEra()).list()

    yield read
    for each in servers:
        each.stop()


def _names(listed):
    return [each.name for each in listed.ok_value.objects]


@pytest.mark.parametrize("position", [0, 1, 2])
def test_page_is_followed_by_the_next_wherever_an_object_has_no_name(read_pages, position):
    first = list(NAMED[:2])
    first.insert(position, NAMELESS)
    listed = read_pages({None: (first, True), "o-1": (NAMED[2:], False)})
    assert isinstance(listed, Ok)
    assert _names(listed) == [f"o-{number}" for number in range(6)]


# Guards against objects that count as gone because the store has returned an empty page.
@pytest.mark.parametrize("page", [[], [NAMELESS]])
def test_list_is_not_whole_if_a_page_that_is_not_the_last_names_nothing(read_pages, page):
    assert read_pages({None: (page, True)}) == Err(SourceFailure.MALFORMED)
    listed = read_pages({None: (NAMED[:2], True), "o-1": (page, True)})
    assert listed == Err(SourceFailure.MALFORMED)
    assert _names(read_pages({None: (page, False)})) == []
