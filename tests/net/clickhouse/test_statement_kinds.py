"""What a statement does, by its text: whatever is not surely a read counts as a write."""

import pytest

from cypressledge.net.clickhouse.statements import StatementKind, statement_kind

READS = (
    "SELECT 1",
    "  -- a comment\n/* another */ select replace(a, 'insert into', ';') FROM sales_1.t;",
    "(SELECT 1) UNION ALL (SELECT 2)",
    "SHOW TABLES",
    "DESCRIBE TABLE t",
    "EXISTS t",
    "EXPLAIN SELECT 1",
    "WITH u AS (SELECT 1) SELECT * FROM u",
    "WITH RECURSIVE a AS (SELECT 1), b AS NOT MATERIALIZED (SELECT 2) SELECT * FROM a, b",
    "WITH truncate(2.5) AS x, 'insert' AS y, (SELECT max(a) FROM t) AS m SELECT x, y, m",
    'SELECT "into" FROM t',
)
INSERTS = (
    "INSERT INTO t VALUES (1)",
    "insert into t format TSV\n1\t;2",
    "WITH u AS (SELECT 1 FROM staging.upload) INSERT INTO sales_17.ledger SELECT 1 FROM u",
    "/* a */ with 1 AS x, u AS (SELECT x) INSERT INTO t SELECT * FROM u",
)
OTHERS = (
    "",
    "EXCHANGE TABLES a AND b",
    "OPTIMIZE TABLE t FINAL",
    "ALTER TABLE t UPDATE a = a + 1 WHERE 1",
    "a word that no engine knows yet",
    "SELECT 1; INSERT INTO t VALUES (1)",
    "SELECT * INTO t FROM u",
    "EXPLAIN ANALYZE INSERT INTO t SELECT 1",
    "WITH u AS (SELECT 1) DELETE FROM t WHERE a IN (SELECT * FROM u)",
    "WITH u AS (SELECT 1) CREATE TABLE t AS SELECT * FROM u",
    "WITH u AS (SELECT 1) SELECT 1; DROP TABLE t",
    "WITH u AS (SELECT 1",
    "WITH 'no end AS x SELECT 1",
    'WITH "a\\" AS x, (1) AS y SELECT 1 -- "',
    "# another comment\nSELECT 1",
    "SELECT 1 /* " + "x" * 70_000 + " */; DROP TABLE t",
)


@pytest.mark.parametrize(
    ("kind", "text"),
    [
        *((StatementKind.READ, text) for text in READS),
        *((StatementKind.INSERT, text) for text in INSERTS),
        *((StatementKind.OTHER, text) for text in OTHERS),
    ],
)
def test_kind_of_a_statement(kind, text):
    assert statement_kind(text) is kind
