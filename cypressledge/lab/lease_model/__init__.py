"""Model checking of leases: all states of small worlds, with all guards and with each guard removed."""
