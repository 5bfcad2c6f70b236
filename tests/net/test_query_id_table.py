"""Tables of query ids that the processes of an upgrade share."""

import os

from cypressledge.broker.used_query_ids import ABANDONED_ID_RETENTION_US, MAX_ABANDONED_IDS, UsedQueryIds
from cypressledge.clock import monotonic_us
from cypressledge.net.query_id_table import QueryIdTable

SECOND_US = 1_000_000


def as_other_process(path, pid):
    """Rename a table as if another process had created it, which a reader then finds."""
    (table,) = path.glob("*-ids.*")
    table.rename(table.with_suffix(f".{pid}"))


def test_another_process_sees_the_ids_until_they_are_removed_or_expire(tmp_path):
    now = monotonic_us()
    other = QueryIdTable(1, str(tmp_path))
    as_other_process(tmp_path, os.getppid())
    own = QueryIdTable(1, str(tmp_path))
    other.add("aa", now + SECOND_US)
    other.add("bb", now + 9 * SECOND_US)
    own.add("cc", now + 9 * SECOND_US)
    assert own.is_used_elsewhere("aa", now)
    assert not own.is_used_elsewhere("aa", now + SECOND_US)
    assert own.is_used_elsewhere("bb", now + SECOND_US)
    other.remove("bb")
    assert not own.is_used_elsewhere("bb", now)
    assert not own.is_used_elsewhere("cc", now)


def test_a_table_outlives_its_process_until_its_entries_have_expired(tmp_path):
    now = monotonic_us()
    QueryIdTable(1, str(tmp_path)).add("aa", now + SECOND_US)
    as_other_process(tmp_path, 1 << 30)  # no process can have this id
    assert QueryIdTable(1, str(tmp_path)).is_used_elsewhere("aa", now)
    assert not QueryIdTable(1, str(tmp_path)).is_used_elsewhere("aa", now + 2 * SECOND_US)
    assert len(list(tmp_path.iterdir())) == 1


def test_thousands_of_ids_fit(tmp_path):
    now = monotonic_us()
    other = QueryIdTable(1, str(tmp_path))
    as_other_process(tmp_path, os.getppid())
    own = QueryIdTable(1, str(tmp_path))
    for number in range(2_000):
        other.add(f"{number:016x}", now + SECOND_US + number)
    found = sum(own.is_used_elsewhere(f"{number:016x}", now) for number in range(2_000))
    assert found >= 1_980  # a full bucket loses the entry that expires first
    assert not own.is_used_elsewhere("ff", now)


def test_an_abandoned_id_is_used_for_a_limited_time_and_a_closed_one_is_not():
    ids = UsedQueryIds()
    for query_id in ("aa", "bb"):
        ids.open(query_id, SECOND_US)
    ids.abandon("aa", 0)
    for query_id in ("aa", "bb"):
        ids.close(query_id)
    assert [ids.is_used(query_id, 1) for query_id in ("aa", "bb")] == [True, False]
    assert not ids.is_used("aa", ABANDONED_ID_RETENTION_US)


def test_the_number_of_abandoned_ids_is_limited():
    ids = UsedQueryIds()
    for number in range(MAX_ABANDONED_IDS + 1):
        ids.abandon(str(number), 0)
    assert [ids.is_used(str(number), 0) for number in (0, 1, MAX_ABANDONED_IDS)] == [False, True, True]
