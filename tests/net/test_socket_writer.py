"""The send queue of a connection."""

import unittest
from unittest.mock import patch

import gevent
import gevent.socket

from cypressledge.net.socket_writer import QUEUED_BYTES, SocketWriter


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
