"""Odds of the classes: a proportional-integral (PI) loop, and the weighted draw of the next class.

Proportional delay differentiation keeps the ratios of the classes' mean queueing delays at reference values.
For n classes there are n - 1 overlapping loops, one for each pair of neighbours j and j + 1. The output of a
loop is the odds ratio x_j = P(j + 1) / P(j). In period k it is updated by

    e(k) = reference(j) / reference(j + 1) - delay(j) / delay(j + 1)
    x(k + 1) = x(k) + K0 e(k) - K1 e(k - 1)

Source: Pan et al., Feedback Control-based Database Connection Management for Proportional Delay
Differentiation-enabled Web Application Servers, Equations 11 and 12. The limits on x and e deviate from the
paper; docs/design.md lists them.
"""

from collections.abc import Callable, Sequence
from random import Random

from cypressledge.decisions.request import Request

GAIN_CURRENT_ERROR = 0.42  # K0, on e(k) (Pan et al., Eq. 11)
GAIN_PREVIOUS_ERROR = 0.1  # K1, on e(k - 1) (Pan et al., Eq. 11)
RATIO_LIMIT = 16.0  # x stays within 1/16..16, so that no class starves and the integral can't wind up
ERROR_LIMIT = 2.0  # largest |e|, so that one unusual period changes x by less than one
MIN_SAMPLES = 3  # delays of a class in a period from which the loop uses their mean


class OddsController:
    """Controls the odds of each class by the delays that are recorded between two updates."""

    def __init__(self, class_count: int) -> None:
        self.odds = [1.0 / class_count] * class_count  # P: probabilities of the classes, which sum to one
        self.ratios = [1.0] * (class_count - 1)  # x: one for each pair of neighbour classes
        self.previous_errors = [0.0] * (class_count - 1)  # e(k - 1), by pair
        self.delay_sums = [0.0] * class_count  # µs; sums since the class last had enough samples
        self.sample_counts = [0] * class_count  # delays in each sum

    def record_delay(self, class_index: int, delay: int) -> None:
        """Record how long, in µs, a request waited for its first attempt, or until it ended without one."""
        self.delay_sums[class_index] += delay
        self.sample_counts[class_index] += 1

    def update(self, reference: Callable[[int], float], shortest_delay: int) -> None:
        """Run one period of all loops.

        `reference` returns the reference delay of a class. `shortest_delay`, µs, is the shortest delay that
        can be measured; shorter means count as this value.
        """
        class_count = len(self.odds)
        samples = zip(self.delay_sums, self.sample_counts, strict=True)
        means = [delay_sum / max(count, 1) for delay_sum, count in samples]
        delays = [max(mean, shortest_delay) for mean in means]
        enough = [count >= MIN_SAMPLES for count in self.sample_counts]
        for pair in range(class_count - 1):
            longer_delay = max(delays[pair], delays[pair + 1])
            if not (enough[pair] and enough[pair + 1]) or longer_delay <= shortest_delay:
                continue  # too few or too short delays for an error: keep the ratio
            error = reference(pair) / reference(pair + 1) - delays[pair] / delays[pair + 1]
            self._step(pair, max(-ERROR_LIMIT, min(ERROR_LIMIT, error)))
        self._normalise()
        for class_index in range(class_count):
            if enough[class_index]:
                self.delay_sums[class_index], self.sample_counts[class_index] = 0.0, 0

    def _step(self, pair: int, error: float) -> None:
        """Apply the incremental PI control law to one pair of neighbours."""
        previous_error = self.previous_errors[pair]
        ratio = self.ratios[pair] + GAIN_CURRENT_ERROR * error - GAIN_PREVIOUS_ERROR * previous_error
        self.ratios[pair] = max(1 / RATIO_LIMIT, min(RATIO_LIMIT, ratio))
        self.previous_errors[pair] = error

    def _normalise(self) -> None:
        """Compute the odds that have the ratios and sum to one (Pan et al., Eq. 12)."""
        weights = [1.0]
        for ratio in self.ratios:
            weights.append(weights[-1] * ratio)
        total = sum(weights)
        self.odds = [weight / total for weight in weights]

    def draw(self, heads: Sequence[Request | None], random: Random) -> Request | None:
        """Return one of the heads of the classes' queues, drawn by the classes' odds; None without any head.

        `heads` holds the head of each class's queue, None for a class without a request to send.
        """
        odds = self.odds
        total = sum(odds[class_index] for class_index, head in enumerate(heads) if head)
        if not total:
            return None
        remaining = random.random() * total
        drawn = None
        for class_index, head in enumerate(heads):
            if head:
                remaining -= odds[class_index]
                drawn = head
                if remaining <= 0:
                    break
        return drawn
