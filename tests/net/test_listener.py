"""A listener at its connection limit: evictions, rejections and stops."""

import socket
from types import SimpleNamespace

import gevent
import gevent.socket
import pytest

from cypressledge.broker.metrics import Counters
from cypressledge.clock import monotonic_us
from cypressledge.net.connection_registry import ConnectionRegistry
from cypressledge.net.jsonrpc.connection import JsonRpcConnection
from cypressledge.net.listener import Listener
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.json_rpc_client import JsonRpcClient
from tests.fakes.support import wait_until


class Evictions(BrokerTestCase):
    def test_silent_clients_do_not_exclude_others(self):
        broker = self.broker(
            self.engine(), change={"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 50}}
        )
        silent_clients = [self.client(broker) for _ in range(60)]

        def answered():
            client = JsonRpcClient(broker.port)
            self.addCleanup(client.close)
            client.ask()
            try:
                return client.get()
            except OSError:
                return None

        wait_until(answered, "an answer despite the silent clients")
        assert silent_clients

    def test_an_eviction_frees_a_place_at_once_and_drops_no_request_or_answer(self):
        """Regression: an evicted client counted until its greenlet ended, and unread bytes were lost."""
        frontend = SimpleNamespace(
            core=None, counters=Counters(), connections=ConnectionRegistry(), draining=False
        )
        listener = Listener(("127.0.0.1", 0), frontend.counters, "clients", None, frontend.connections)
        self.addCleanup(listener.sock.close)
        pairs = [socket.socketpair() for _ in range(4)]
        clients = [JsonRpcConnection(frontend, ours) for ours, _ in pairs]
        for number, client in enumerate(clients):
            client.has_requested, client.connected_at, client.last_active_at = (
                True,
                0,
                monotonic_us() - 1_000_000 + number,
            )
        pairs[0][1].send(b"a request that is not read yet")
        clients[1].writer.sending = True  # an answer is still being sent
        for remaining in (3, 2):
            assert listener._evict_idle()
            assert len(frontend.connections) == remaining
        assert not listener._evict_idle()
        assert set(frontend.connections) == set(clients[:2])
        for ours, theirs in pairs:
            ours.close()
            theirs.close()


class RunningListener:
    """A listener whose clients stay connected until they close their connection."""

    def __init__(self, inherited=None):
        self.counters, self.connections = Counters(), ConnectionRegistry()
        self.listener = Listener(
            ("127.0.0.1", 0), self.counters, "clients", lambda sock: sock.recv(1), self.connections, inherited
        )
        self.address = self.listener.sock.getsockname()

    def connect(self):
        return gevent.socket.create_connection(self.address)

    def count(self, name):
        return self.counters.show().get(f"clients.{name}", 0)

    def wait_for(self, name, count):
        with gevent.Timeout(5):
            while self.count(name) < count:
                gevent.sleep(0.01)


@pytest.fixture
def running():
    one = RunningListener()
    loop = gevent.spawn(one.listener.run)
    yield one
    one.listener.sock.close()
    loop.kill()
    one.listener.pool.kill()


def test_a_client_beyond_the_limit_is_rejected_while_no_other_is_idle(running):
    running.listener.max_connections = 2
    clients = [running.connect() for _ in range(3)]
    with gevent.Timeout(5):
        assert clients[2].recv(1) == b""
    assert [running.count(name) for name in ("accepted", "rejected", "connections")] == [2, 1, 2]
    clients[0].close()
    with gevent.Timeout(5):
        while running.count("connections") > 1:
            gevent.sleep(0.01)
    running.connect()
    running.wait_for("accepted", 3)


def test_up_to_max_closing_connections_do_not_count(running):
    running.listener.max_connections = running.listener.max_closing = 1
    running.connections.closing |= {object(), object()}
    clients = [running.connect() for _ in range(3)]
    with gevent.Timeout(5):
        assert clients[2].recv(1) == b""
    assert [running.count(name) for name in ("accepted", "rejected")] == [2, 1]


def test_connections_in_the_accept_queue_are_accepted_before_a_stop():
    one = RunningListener()
    client = one.connect()
    gevent.spawn(one.listener.run)
    one.listener.stop()
    assert one.count("accepted") == 1
    with pytest.raises(ConnectionRefusedError):
        one.connect()
    client.close()


def test_an_inherited_socket_leaves_its_queue_to_the_next_process():
    with socket.create_server(("127.0.0.1", 0)) as inherited:
        one = RunningListener(inherited=socket.socket.dup(inherited).detach())
        one.connect()
        gevent.spawn(one.listener.run)
        one.listener.stop()
        assert one.count("accepted") == 0
        inherited.accept()[0].close()  # the client is still in the accept queue
