"""Model checking of the lease: all states of small worlds, with all guards and with each one taken out."""
