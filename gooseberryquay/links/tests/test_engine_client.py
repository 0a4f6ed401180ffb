import socket
import threading

from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import GenerationId, ServiceId, UpstreamId, ZoneId
from gooseberryquay.links.engine_client import EngineClient

ANSWER = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
)


def _respond_once_per_connection(listener, connections):
    while True:
        try:
            connection = listener.accept()[0]
        except OSError:
            return
        connections.append(connection)
        connection.recv(65536)
        connection.sendall(ANSWER)


def test_resume_does_not_use_a_pooled_connection_that_became_unresponsive():
    connections = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(
            target=_respond_once_per_connection, args=(listener, connections), daemon=True
        ).start()
        declaration = UpstreamDeclaration(
            id=UpstreamId("engine-1"),
            service=ServiceId("model"),
            zone=ZoneId("zone-a"),
            address=Address(*listener.getsockname()),
        )
        client = EngineClient(declaration)
        first = client.start("/v1/completions", GenerationId("g"), 0, b"{}", 5.0).unwrap()
        assert list(first.buffers())
        first.release()
        resumed = client.resume(GenerationId("g"), 0, 1.0).unwrap()
        assert resumed.status == 200
        assert len(connections) == 2
        resumed.close()
        client.close()
