"""One broker's core: requests, attempts, engines and the loop that owns the decisions. Knows no wire."""
