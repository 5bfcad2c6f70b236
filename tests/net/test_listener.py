"""A listener at its limit: which client is closed for the next one."""

import socket
from types import SimpleNamespace

from cypressledge.broker.metrics import Counters
from cypressledge.clock import monotonic_us
from cypressledge.net.connection_registry import ConnectionRegistry
from cypressledge.net.jsonrpc.connection import JsonRpcConnection
from cypressledge.net.listener import Listener
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.json_rpc_client import JsonRpcClient
from tests.fakes.support import wait_until


class Evictions(BrokerTestCase):
    def test_crowd_that_says_nothing_keeps_nobody_out(self):
        broker = self.broker(
            self.engine(), change={"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 50}}
        )
        silent_clients = [self.client(broker) for _ in range(60)]

        def served():
            client = JsonRpcClient(broker.port)
            self.addCleanup(client.close)
            client.ask()
            try:
                return client.get()
            except OSError:
                return None

        wait_until(served, "a place among the silent clients")
        assert silent_clients

    def test_room_is_made_at_once_and_never_over_a_request_or_an_answer(self):
        """Whoever made room was still counted while its greenlet ended; and bytes on their way were lost."""
        front = SimpleNamespace(
            core=None, counters=Counters(), connections=ConnectionRegistry(), draining=False
        )
        listener = Listener(("127.0.0.1", 0), front.counters, "clients", None, front.connections)
        self.addCleanup(listener.sock.close)
        pairs = [socket.socketpair() for _ in range(4)]
        clients = [JsonRpcConnection(front, ours) for ours, _ in pairs]
        for n, client in enumerate(clients):
            client.has_requested, client.connected_at, client.last_active_at = (
                True,
                0,
                monotonic_us() - 1_000_000 + n,
            )
        pairs[0][1].send(b"a request that is not read yet")
        clients[1].writer.sending = True  # an answer has not left yet
        for left in (3, 2):
            assert listener._evict_idle()
            assert len(front.connections) == left
        assert not listener._evict_idle()
        assert set(front.connections) == set(clients[:2])
        for ours, theirs in pairs:
            ours.close()
            theirs.close()
