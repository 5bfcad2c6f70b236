"""The ClickHouse HTTP interface: the frontend for clients and the transport to engines."""
