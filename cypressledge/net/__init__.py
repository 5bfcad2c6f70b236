"""The protocols: frontends for clients, transports to engines, discovery, and the operators' addresses."""
