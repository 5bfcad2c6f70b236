"""Units of time, and the weight of running means that several modules use."""

MS = 1_000  # µs
SECOND = 1_000 * MS  # µs
EWMA = 0.1  # weight of one new answer in exponentially weighted moving averages
