"""The engines' line protocol: many attempts share one connection, and results arrive in pages."""
