import contextlib
import socket
import threading
import time

import pytest

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.standins.fault_proxy import FaultProxy
from gooseberryquay.standins.process import CommandProcess, find_free_port
from gooseberryquay.standins.proxy_messages import (
    CutConnections,
    DelayBytes,
    Direction,
    HangConnections,
    HealLink,
    LoseAnswers,
    RefuseConnections,
    ResetConnections,
    ResetRequests,
    SilenceConnections,
    StallBytes,
)
from gooseberryquay.standins.tests.builders import wait_until

SHORT_S = 0.3
LONG_S = 20.0


class EchoServer:
    """Echo each buffer and record all received bytes."""

    def __init__(self):
        self.received = b""
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._echo, args=(connection,), daemon=True).start()

    def _echo(self, connection):
        with contextlib.suppress(ConnectionResetError), connection:
            while buffer := connection.recv(1024):
                self.received += buffer
                connection.sendall(buffer)

    def close(self):
        self._listener.close()


@pytest.fixture
def echo():
    server = EchoServer()
    yield server
    server.close()


@pytest.fixture
def proxy(echo):
    fault_proxy = FaultProxy(echo.address)
    fault_proxy.start()
    yield fault_proxy
    fault_proxy.stop()


def _connect(proxy):
    connection = socket.create_connection(("127.0.0.1", proxy.port), LONG_S)
    assert _exchange(connection, b"hello") == b"hello"
    return connection


def _exchange(connection, message, timeout_s=LONG_S):
    connection.settimeout(timeout_s)
    connection.sendall(message)
    return connection.recv(1024)


def _times_out(connection, message):
    try:
        _exchange(connection, message, SHORT_S)
    except TimeoutError:
        return True
    return False


def test_delay_holds_bytes_for_a_time(proxy):
    connection = _connect(proxy)
    proxy.apply_fault(DelayBytes(delay_s=SHORT_S, direction=Direction.TO_CALLER))
    started_s = time.monotonic()
    assert _exchange(connection, b"late") == b"late"
    assert time.monotonic() - started_s >= SHORT_S


def test_stalled_bytes_arrive_after_the_link_is_healed(proxy):
    connection = _connect(proxy)
    proxy.apply_fault(StallBytes())
    assert _times_out(connection, b"held")
    proxy.apply_fault(HealLink())
    connection.settimeout(LONG_S)
    assert connection.recv(1024) == b"held"


def test_silenced_connection_stays_unresponsive_while_new_ones_work(proxy, echo):
    connection = _connect(proxy)
    proxy.apply_fault(SilenceConnections())
    assert _times_out(connection, b"lost")
    assert b"lost" not in echo.received
    _connect(proxy).close()
    proxy.apply_fault(HealLink())
    assert _times_out(connection, b"lost too")


def test_silence_of_one_direction_lets_requests_through(proxy, echo):
    connection = _connect(proxy)
    proxy.apply_fault(SilenceConnections(direction=Direction.TO_CALLER))
    assert _times_out(connection, b"ran")
    assert echo.received.endswith(b"ran")


def test_cut_closes_and_reset_resets(proxy):
    connection = _connect(proxy)
    proxy.apply_fault(CutConnections())
    connection.settimeout(LONG_S)
    assert connection.recv(1024) == b""
    connection = _connect(proxy)
    proxy.apply_fault(ResetConnections())
    connection.settimeout(LONG_S)
    with pytest.raises(ConnectionResetError):
        connection.recv(1024)


def test_reset_never_becomes_an_orderly_close(proxy):
    for _ in range(100):
        connection = _connect(proxy)
        proxy.apply_fault(ResetConnections())
        with pytest.raises(ConnectionResetError):
            connection.recv(1024)


def test_refused_connections_work_again_after_the_link_is_healed(proxy):
    connection = _connect(proxy)
    proxy.apply_fault(RefuseConnections())
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", proxy.port), LONG_S)
    assert _exchange(connection, b"still open") == b"still open"
    proxy.apply_fault(HealLink())
    _connect(proxy).close()


def test_refusing_link_keeps_its_port(proxy):
    """Another socket took the port, and the link could not be healed."""
    proxy.apply_fault(RefuseConnections())
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", proxy.port))


def test_lost_answer_leaves_the_request_done(proxy, echo):
    connection = _connect(proxy)
    proxy.apply_fault(LoseAnswers())
    connection.settimeout(LONG_S)
    assert _exchange(connection, b"ran") == b""
    assert echo.received.endswith(b"ran")


def test_request_is_reset_unread_on_a_connection_that_was_accepted(proxy, echo):
    proxy.apply_fault(ResetRequests())
    with (
        socket.create_connection(("127.0.0.1", proxy.port)) as connection,
        pytest.raises(ConnectionResetError),
    ):
        _exchange(connection, b"lost")
    assert not echo.received.endswith(b"lost")
    proxy.apply_fault(HealLink())
    assert _exchange(_connect(proxy), b"kept") == b"kept"


def test_closed_connections_are_forgotten(proxy):
    _connect(proxy).close()
    wait_until(lambda: proxy.counts().open_connections == 0)


def test_proxy_process_is_driven_over_its_control_port(echo, tmp_path):
    with CommandProcess("standin", "service") as service:
        target = f"127.0.0.1:{service.port}"
        control_port = find_free_port()
        arguments = ("--target", target, "--control_port", str(control_port))
        with CommandProcess("standin", "faultproxy", *arguments) as process:
            client = HttpClient("127.0.0.1", process.port)
            assert client.send("GET", "/load").unwrap().status == 200
            control = HttpClient("127.0.0.1", control_port)
            fault = RefuseConnections().model_dump_json().encode()
            assert control.send("POST", "/standin/faults", fault).unwrap().status == 200
            client.close()
            fresh = HttpClient("127.0.0.1", process.port)
            assert not fresh.send("GET", "/load").unwrap_err().was_sent


@pytest.mark.parametrize("fault", [RefuseConnections(), HangConnections()])
def test_port_of_a_link_is_never_free_for_another_socket_while_it_faults_and_heals(proxy, fault):
    taken = []
    is_over = threading.Event()

    def take_port():
        while not is_over.is_set():
            with socket.socket() as other, contextlib.suppress(OSError):
                other.bind(("127.0.0.1", proxy.port))
                taken.append(other)

    taker = threading.Thread(target=take_port)
    taker.start()
    try:
        for _ in range(200):
            proxy.apply_fault(fault)
            proxy.apply_fault(HealLink())
    finally:
        is_over.set()
        taker.join()
    assert taken == []
