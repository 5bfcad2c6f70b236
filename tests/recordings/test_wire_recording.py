"""One of each message on the outer wires, to the byte, against `wire_messages.txt`.

Volatile values (ports, clocks, message ids of DNS) are replaced by names in angle brackets. After a change of
a wire that is meant, `python -m tests.recordings.test_wire_recording` writes the file anew.
"""

import signal
import unittest
from pathlib import Path

from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.support import wait_until
from tests.recordings.wire_broker import WireBroker
from tests.recordings.wire_clickhouse import clickhouse_engine_messages, clickhouse_messages
from tests.recordings.wire_jsonrpc import jsonrpc_messages
from tests.recordings.wire_line_protocol import line_protocol_messages
from tests.recordings.wire_operators import administration_messages, management_messages, name_messages
from tests.recordings.wire_text import recorded_text

FILE = Path(__file__).with_name("wire_messages.txt")


class WireRecorder(BrokerTestCase):
    """Collects the messages of one broker process."""

    maxDiff = None

    def all_messages(self) -> str:
        """All messages, as the file holds them."""
        messages = line_protocol_messages()
        broker = WireBroker(self)
        messages |= jsonrpc_messages(broker)
        messages |= management_messages(broker)
        messages |= name_messages(broker)
        wait_until(lambda: b"clickhouse" in broker.api("GET", "/v1/engines"), "the engine by DNS-SD")
        # From here on only engines of the second wire: the first ones' list is empty.
        broker.process.dns.engines.clear()
        broker.process.publish_list(2)
        wait_until(lambda: b'"lines"' not in broker.api("GET", "/v1/engines"), "the first list to be empty")
        messages |= administration_messages(broker)
        messages |= clickhouse_messages(broker)
        messages |= clickhouse_engine_messages(broker)
        return recorded_text(messages)


class WireRecording(WireRecorder):
    def test_every_message_is_as_it_was(self):
        assert self.all_messages().splitlines() == FILE.read_text().splitlines()


if __name__ == "__main__":

    class Writing(WireRecorder):
        def runTest(self):  # noqa: N802 - unittest's own name
            FILE.write_text(self.all_messages())

    signal.alarm(120)
    unittest.TextTestRunner().run(Writing())
