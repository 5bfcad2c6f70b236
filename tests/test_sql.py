"""The table group of a statement, and the time for scanning statements."""

import unittest

from cypressledge.net.clickhouse.statements import FORMAT_CLAUSE, StatementKind, statement_kind
from cypressledge.sql import table_group


class TableGroups(unittest.TestCase):
    def test_table_group_of_a_statement(self):
        for statement, group in (
            ("SELECT a FROM sales_17.orders", 17),
            ("SELECT o_2.a FROM staging.x o_1 JOIN sales_8.lines o_2 ON o_1.k = o_2.k", 8),
            ("INSERT INTO sales_3.orders SELECT * FROM staging.load_4", 3),
            ("SELECT 'from sales_1.t' /* from sales_2.t */ -- from sales_5.t\n FROM sales_6.t", 6),
            ('UPDATE "sales_12"."orders" SET a = 1', 12),
            ("DELETE FROM db.sales_9.t", 9),
            ("SELECT 'it''s from sales_4.t' FROM sales_5.t", 5),
            ("SELECT 1", 0),
            ("SELECT a FROM orders", 0),
        ):
            with self.subTest(statement):
                assert table_group(statement) == group

    def test_statements_made_to_be_slow_to_scan_are_scanned_in_time(self):
        """Regression: each of these statements stalled the broker for seconds, or without end."""
        values = "(1,'abc',2.5)," * 300_000
        assert table_group(f"INSERT INTO plain.t VALUES {values}") == 0
        assert table_group(f"INSERT INTO sales_3.t VALUES {values}") == 3
        assert statement_kind("/**/" * 10000 + "x") is StatementKind.OTHER
        assert statement_kind("/**/ /* a */ -- b\n insert") is StatementKind.INSERT
        assert statement_kind("WITH a AS (" * 300_000) is StatementKind.OTHER
        assert statement_kind("SELECT ';" * 300_000) is StatementKind.OTHER
        assert FORMAT_CLAUSE.search("SELECT 1 FORMAT x" + " " * 300000 + "y") is None
        assert FORMAT_CLAUSE.search("SELECT 1 FORMAT TSV ; ")[1] == "TSV"
