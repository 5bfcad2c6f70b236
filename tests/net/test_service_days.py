"""Days of service, beside calm ones: new configurations, bad clients, bad peers, engines that come and go."""

import socket
import threading
import time
import unittest
from types import SimpleNamespace
from unittest.mock import patch

import gevent
import gevent.socket
import pytest

from cypressledge.broker.metrics import Counters
from cypressledge.clock import monotonic_us
from cypressledge.lab.site import SETTINGS
from cypressledge.net.connection_registry import EXAMINED, NOT_EVICTABLE, ConnectionRegistry
from cypressledge.net.jsonrpc.connection import JsonRpcConnection
from cypressledge.net.jsonrpc.request_ids import MAX_SKIPPED, UsedRequestIds
from cypressledge.net.listener import Listener
from cypressledge.net.socket_writer import QUEUED_BYTES, SocketWriter
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.fake_engines import ROW, answer_at_once, answer_on_release, never_answer
from tests.fakes.fake_name_server import FakeNameServer
from tests.fakes.json_rpc_client import JsonRpcClient, result_rows
from tests.fakes.support import WAIT, wait_until


class Reload(BrokerTestCase):
    """SIGHUP: the configuration is read again while everything else lives on."""

    def test_new_directory_is_asked_at_once_and_open_requests_live_on(self):
        engine, other = self.engine(answer_on_release), self.engine(name="s-2")
        engine.released = False
        broker = self.broker(engine)
        client = self.client(broker)
        client.ask("report", wait=15000)
        wait_until(lambda: engine.wants, "the attempt")
        broker.dns.is_silent = True
        moved = FakeNameServer()
        self.addCleanup(moved.close)
        moved.serial, moved.engines = 2, {"s-1": (engine.port, 1), "s-2": (other.port, 0)}
        broker.reload(dns=f"127.0.0.1:{moved.port}")
        wait_until(lambda: moved.asked > 1, "the new directory")
        client.ask()  # on the connection from before, and only s-2 is ready now
        assert client.get()["id"] == 2
        engine.released = True
        assert result_rows(client.get()) == ROW
        assert broker.process.poll() is None

    def test_serial_is_kept_over_a_reload(self):
        engine = self.engine()
        broker = self.broker(engine)
        broker.publish_list(7)
        moved = FakeNameServer()
        self.addCleanup(moved.close)
        moved.serial = 3  # an older list, with no engine in it
        broker.reload(dns=f"127.0.0.1:{moved.port}")
        wait_until(lambda: moved.asked > 3, "the new directory")
        client = self.client(broker)
        client.ask()
        assert result_rows(client.get()) == ROW

    def test_unusable_file_leaves_the_old_configuration_in_force(self):
        broker = self.broker(self.engine())
        client = self.client(broker)
        for text, change, word in (
            ("{half a fi", {}, "Expecting"),
            (None, {"dns": "nowhere"}, "HOST:PORT"),
            (None, {"listen": "127.0.0.1:1"}, "restart"),
            (None, {"settings": SETTINGS | {"Classes": SETTINGS["Classes"][:1]}}, "restart"),
        ):
            with self.subTest(word):
                before = dict(broker.config)
                line = broker.reload(text, **change)[-1]
                broker.config = before
                assert "the old configuration stays in force" in line
                assert word in line
                client.ask()
                assert result_rows(client.get()) == ROW

    def test_whatever_else_has_changed_counts_too(self):
        broker = self.broker(self.engine())
        client = self.client(broker)
        client.ask(tenant="sud")
        assert client.get()["error"]["code"] == -32602
        broker.reload(settings=SETTINGS | {"Customers": [{"Name": "sud"}]})
        client.ask(tenant="sud")
        assert result_rows(client.get()) == ROW


class Directory(BrokerTestCase):
    def test_good_answer_counts_behind_a_bad_one(self):
        """Spoilt answers in front: a failure, a cut one, one under another id, an older list."""
        first, second = self.engine(), self.engine(name="s-2")
        broker = self.broker(first)
        broker.dns.sends_invalid_answers = True
        broker.dns.engines = {"s-2": (second.port, 0)}
        broker.publish_list(5)
        client = self.client(broker)
        client.ask()
        assert result_rows(client.get()) == ROW
        assert len(second.wants) == 1


class BadClients(BrokerTestCase):
    """Each is owed a refusal, an error or a close within 3 s, and the usual clients notice nothing."""

    def setUp(self):
        self.engine_ = self.engine()
        self.served = self.broker(self.engine_)
        self.usual = self.client(self.served)
        self.usual.ask()  # whoever has been answered may stay
        self.usual.get()
        self.engine_.wants.clear()

    def tearDown(self):
        self.usual.ask()
        assert result_rows(self.usual.get()) == ROW

    def said(self, client):
        """What the client is told, until the close; None if neither came in time."""
        client.sock.settimeout(WAIT)
        began, words = time.monotonic(), []
        while (word := client.get()) is not None:
            words.append(word)
        assert time.monotonic() - began < 3.5
        return words

    def test_those_that_say_nothing_or_half_are_let_go(self):
        quiet, half, trickling, back = (self.client(self.served) for _ in range(4))
        half.raw(b"", b"Content-Length: 90\r\n\r\n{")
        trickling.raw(b"", b"Content")
        back.ask(wait=2900)  # and takes back all that it asked
        back.raw(b'{"jsonrpc":"2.0","method":"withdraw","params":{"id":1}}')
        assert self.said(quiet) == []
        assert [w["error"]["code"] for w in self.said(half)] == [-32600]
        assert [w["error"]["code"] for w in self.said(trickling)] == [-32600]
        self.said(back)

    def test_client_that_has_been_answered_may_stay_idle(self):
        self.usual.sock.settimeout(4.0)
        with pytest.raises(TimeoutError):
            self.usual.sock.recv(1)

    def test_huge_body_is_heard_out_so_that_the_error_can_be_read(self):
        client = self.client(self.served)
        client.raw(bytes(1 << 20) * 60, b"Content-Length: 62914560\r\n\r\n")
        assert [w["error"]["code"] for w in self.said(client)] == [-32600]

    def test_what_an_engine_cannot_use_never_reaches_one(self):
        client = self.client(self.served)
        for method, change in (
            ("lookup", {"once": "ab" * 16}),
            ("order-load", {"once": "a=b"}),
            ("order-load", {"once": 7}),
            ("lookup", {"wait": 0}),
            ("lookup", {"wait": 1e7}),
            ("lookup", {"wait": True}),
            ("lookup", {"wait": 10**400}),
            ("lookup", {"cost": -1}),
            ("lookup", {"cost": float("nan")}),
            ("lookup", {"mem": 1e30}),
            ("lookup", {"retry": "x"}),
            ("lookup", {"content": ""}),
            ("lookup", {"content": "AAA="}),
            ("lookup", {"content": "/w=="}),
            ("lookup", {"id": "AB" * 8}),
        ):
            with self.subTest(change):
                if client.number % 10 == 9:
                    client = self.client(self.served)
                client.ask(method, **change)
                assert client.get()["error"]["code"] == -32602
        assert not self.engine_.wants

    def test_id_of_an_open_request_is_an_error_on_any_connection(self):
        self.engine_.play = never_answer
        first, second = self.client(self.served), self.client(self.served)
        first.ask(id="00000000000000aa")
        wait_until(lambda: self.engine_.wants, "the attempt")
        second.ask(id="00000000000000aa", statement=b"SELECT 2 FROM sales_1.t")
        assert second.get()["error"]["code"] == -32602
        self.engine_.play = answer_at_once

    def test_endless_errors_end_the_connection(self):
        client = self.client(self.served)
        for _ in range(40):
            client.send("nothing")
        assert len(self.said(client)) < 40

    def test_numbers_that_skip_are_not_all_remembered(self):
        used = UsedRequestIds()
        for number in range(2, 50_000, 2):
            assert used.add(number)
            assert not used.add(number)
        assert len(used.above) <= MAX_SKIPPED


class Crowds(BrokerTestCase):
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

    def test_a_newcomer_costs_the_same_whatever_the_number_of_clients(self):
        """Each newcomer took a look at all connections: of many, that took a whole core."""
        looked = []

        class Member:
            def __init__(self, n, priority, has_requested):
                self.n, self.priority, self.has_requested = n, priority, has_requested

            def eviction_priority(self, now):
                looked.append(self.n)
                return self.priority

        registry = ConnectionRegistry()
        busy = [Member(n, NOT_EVICTABLE, True) for n in range(EXAMINED)]
        idle = [Member(n, (2, n), True) for n in range(EXAMINED, 5_000)]
        for connection in busy + idle:
            registry.add(connection)
        assert registry.eviction_candidate(0) is None  # all busy: the next finds others
        assert registry.eviction_candidate(0) is idle[0]
        quiet = Member(5_000, (1, 0), False)
        registry.add(quiet)
        assert registry.eviction_candidate(0) is quiet
        assert len(looked) < 4 * EXAMINED

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


class SlowReaders(unittest.TestCase):
    """Peers that do not read."""

    def test_the_one_with_most_queued_is_given_up_not_whoever_comes_next(self):
        """A client that read all its answers was cut because others did not read theirs."""
        self.enterContext(patch.object(QUEUED_BYTES, "limit", 3 << 19))
        pairs = [gevent.socket.socketpair() for _ in range(3)]
        lost = []
        slow, slower, good = (
            SocketWriter(ours, 4 << 20, 30.0, lambda why, n=n: lost.append(n))
            for n, (ours, _) in enumerate(pairs)
        )
        for writer, size in ((slow, 1 << 20), (slower, 1 << 20), (slow, 512 << 10), (slower, 900 << 10)):
            writer.write(b"x" * size)
            gevent.sleep(0.01)
        good.write(b"y" * (900 << 10))
        got = 0
        with gevent.Timeout(5):
            while got < 900 << 10:
                got += len(pairs[2][1].recv(1 << 20))
        assert lost == [1]
        for pair in pairs:
            for sock in pair:
                sock.close()


class BadPeers(BrokerTestCase):
    """Spoilt answers have run: never passed on, and asked for again only as class and ration allow."""

    def ask(self, raw, **more):
        """Answer the first attempt with these bytes and the next ones well; what the client is told."""

        def play(engine, say, name, fields, statement):
            if len(engine.wants) > 1:
                return answer_at_once(engine, say, name, fields, statement)
            engine.wants[0][0].sendall(raw.replace(b"ID", name.encode()))
            return None

        engine = self.engine(play)
        client = self.client(self.broker(engine))
        client.ask(**more)
        return client.get(), engine

    def test_spoilt_answers_are_not_passed_on(self):
        for raw in (
            b"ID 200 count=1 4\r\na\tb\n\r\n",
            b"ID 200 count=1 8\r\n1\tb\t2.5\r\n",
            b"ID 200 count=1 6\r\n\xff\tb\tc\n\r\n",
            b"ID 200 count=0 0\r\n\r\n",
            b"ID 200 - 0\r\n\r\n",
            b"ID 200 count=9999 6\r\na\tb\tc\n\r\n",
            b"ID 200 count=1 7\r\na\tb\tc\n\r\n",
            b"ID 200 count=1 -6\r\na\tb\tc\n\r\n",
            b"ID 200 count=1 3000000000\r\n" + b"a\tb\tc\n" * 9000,
            b"ID 200 count 6\r\na\tb\tc\n\r\n",
            b"ID 999 - 0\r\n\r\n",
            b"\0\x80noise\r\n",
            b"x" * 9000,
            b"ID status note=done,reading=nan 0\r\n\r\n",
            b"ID status note=done 0\r\n\r\n",
            b"ID chunk pos=1 6\r\na\tb\tc\n\r\n",
            b"ID 200 count=2 6\r\na\tb\tc\n\r\nID chunk pos=2 0\r\n\r\n",
            b"ID 200 count=1 60\r\na\tb",  # and no more: cut short
        ):
            with self.subTest(raw[:50]):
                answer, engine = self.ask(raw)
                assert result_rows(answer) == ROW
                assert engine.wants[0][0] is not engine.wants[1][0]

    def test_second_copies_and_unknown_ids_are_ignored(self):
        good = b"ID 200 count=1 %d\r\n%s\r\n" % (len(ROW), ROW)
        answer, engine = self.ask(good.replace(b"ID", b"0" * 16) + good + good)
        assert (result_rows(answer), len(engine.wants)) == (ROW, 1)
        first = b"ID 200 count=2 6\r\na\tb\tc\n\r\n"
        answer, engine = self.ask(first + first + b"ID chunk pos=1 6\r\nd\te\tf\n\r\n" * 2)
        assert (result_rows(answer), len(engine.wants)) == (b"a\tb\tc\nd\te\tf\n", 1)

    def test_what_else_was_on_the_connection_is_asked_for_again(self):
        def play(engine, say, name, fields, statement):
            if len(engine.wants) == 2:
                engine.wants[1][0].sendall(b"noise\r\n")
            elif len(engine.wants) > 2:
                answer_at_once(engine, say, name, fields, statement)

        engine = self.engine(play)
        client = self.client(self.broker(engine))
        client.ask("order-load", once="ab" * 16, wait=15000)
        wait_until(lambda: engine.wants, "the first attempt")
        client.ask()
        assert [result_rows(client.get()) for _ in "ab"] == [ROW, ROW]
        assert len(engine.wants) == 4

    def test_answer_that_never_comes_is_asked_for_again(self):
        """Its connection is silent while the engine tells notes on another one."""
        says = {}

        def play(engine, say, name, fields, statement):
            says[next(w[0] for w in engine.wants if w[1] == name)] = say
            if len(engine.wants) > 9:
                answer_at_once(engine, say, name, fields, statement)

        def lone():
            # The want beyond the first connection's share, known by being alone on its connection: the two
            # connections may come up, and their threads append, in either order.
            wants = engine.wants[:9]
            alone = [w for w in wants if sum(v[0] is w[0] for v in wants) == 1]
            return alone[0] if len(wants) == 9 and alone and alone[0][0] in says else None

        engine = self.engine(play)
        client = self.client(self.broker(engine))
        for _ in range(9):
            client.ask("report", wait=20000)
        noted = wait_until(lone, "nine wants on two connections")
        notes = threading.Thread(
            target=wait_until, args=(lambda: says[noted[0]](noted[1], "status") or engine.wants[9:],)
        )
        notes.start()
        self.addCleanup(notes.join)
        wait_until(lambda: engine.wants[9:], "a repeat")
        silent = [name for sock, name, *_ in engine.wants[:9] if sock is not noted[0]]
        assert len(silent) == 8
        assert engine.wants[9][1] in silent
