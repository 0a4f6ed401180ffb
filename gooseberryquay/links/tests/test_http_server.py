import threading

from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.links.http_server import HttpServer, Response, Router

TIMEOUT_S = 20.0


def test_what_waits_for_an_answer_is_done_once_its_caller_can_have_it():
    """The action waits for the caller to have the answer, which would never come before it."""
    has_answer, done = threading.Event(), []
    is_done = threading.Event()

    def act():
        done.append(has_answer.wait(TIMEOUT_S))
        is_done.set()

    def answer(request):
        request.after_answer(act)
        return Response(status=503, body=b"refused")

    router = Router()
    router.add("POST", "/refused", answer)
    router.add("GET", "/next", lambda _request: Response(body=b"next"))
    server = HttpServer("127.0.0.1", 0, router)
    server.start()
    try:
        client = HttpClient("127.0.0.1", server.port, TIMEOUT_S, TIMEOUT_S / 2)
        assert client.send("POST", "/refused").unwrap().body == b"refused"
        assert client.send("GET", "/next").unwrap().body == b"next"
        assert not done
        has_answer.set()
        assert is_done.wait(TIMEOUT_S)
    finally:
        server.stop()
    assert done == [True]
