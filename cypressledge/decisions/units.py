"""Units of time, and the weight of new values that several modules use in running means."""

MS = 1_000  # µs
SECOND = 1_000 * MS  # µs
EWMA_WEIGHT = 0.1  # weight of one new value in an exponentially weighted moving average (EWMA)
