"""Network protocols: frontends for clients, transports to engines, discovery, and operators' addresses."""
