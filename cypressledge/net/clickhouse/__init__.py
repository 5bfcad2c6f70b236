"""The ClickHouse HTTP interface: the frontend that clients speak to, and the transport to engines."""
