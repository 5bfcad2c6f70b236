"""The ids of a JSON-RPC connection, each of which may be used once."""

import unittest

from cypressledge.net.jsonrpc.request_ids import MAX_SKIPPED, UsedRequestIds


class RequestIds(unittest.TestCase):
    def test_the_number_of_remembered_ids_is_bounded(self):
        used = UsedRequestIds()
        for number in range(2, 50_000, 2):
            assert used.add(number)
            assert not used.add(number)
        assert len(used.out_of_order) <= MAX_SKIPPED
