"""Units of time, and the weight of new values in the running means of several modules."""

MS = 1_000  # µs
SECOND = 1_000 * MS  # µs
EWMA_WEIGHT = 0.1  # weight of one new value in an exponentially weighted moving average (EWMA)
