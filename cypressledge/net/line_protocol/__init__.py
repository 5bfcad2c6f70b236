"""The engines' line protocol: many attempts share one connection, results are sent in pages."""
