"""The core of a broker: requests, attempts, engines and the event loop that runs the decision module.

It is independent of any wire protocol."""
