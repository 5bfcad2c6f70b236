"""Estimates of the work, memory and latency of each class's requests, from recent answers."""

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import AttemptEnded, RequestReceived
from cypressledge.decisions.request import Request
from cypressledge.decisions.units import EWMA_WEIGHT

MEAN_RUN_TIME_WEIGHT = 0.01  # weight of one new request in the mean run time
RATIO_LIMIT = 8.0  # cap on actual over estimated work or memory
LATENCY_RATIO_LIMIT = 20.0  # cap on latency over run time
RUN_TIME_MIN = 1.0  # µs; smallest run time used as a divisor
MEMORY_RATIO_WEIGHT = EWMA_WEIGHT / 2  # weight of one new answer in the mean memory ratio
GRANT_QUANTILE = 0.9  # fraction of requests that a grant covers; a spill costs more than idle memory
GRANT_STEP = 0.04  # relative step of the estimate of that quantile
INITIAL_GRANT_RATIO = 1.25  # grant over estimated memory before the first answers
RUN_TIME_WEIGHT_MAX = 5.0  # cap on run time over mean run time as a weight in `weighted_memory_mb`


class ClassEstimates:
    """Running means of work, latency and memory, for each class and over all requests."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        class_count = len(context.settings.classes)
        self.work = [0.0] * class_count  # µs; mean work of a request; 0: not known
        self.answer_counts = [0] * class_count
        self.latency_ratios = [1.0] * class_count  # latency over run time
        self.cost_ratios = [1.0] * class_count  # actual over estimated work
        self.grant_ratios = [INITIAL_GRANT_RATIO] * class_count  # quantile of used over estimated memory
        self.memory_ratios = [1.0] * class_count  # mean of used over estimated memory
        self.mean_run_time = 0.0  # µs; over all requests received
        self.weighted_memory_mb = 0.0  # mean memory of an attempt, weighted by run time
        self.has_cost_estimates = False  # whether any request carried a cost estimate

    def corrected_cost(self, received: RequestReceived) -> float:
        """Return the expected work of a new request in µs.

        It is the request's estimate, corrected by earlier requests of its class, or the class's mean work.
        """
        class_index = received.class_index
        if received.cost:
            return received.cost * self.cost_ratios[class_index]
        return self.work[class_index]

    def record_request(self, request: Request) -> None:
        """Update the mean run time with a new request; initialize its class's work if it is not known."""
        class_index = request.class_index
        if not self.work[class_index]:
            self.work[class_index] = request.cost
        self.has_cost_estimates = self.has_cost_estimates or request.estimated_cost > 0
        run_time = request.run_time
        if self.mean_run_time:
            self.mean_run_time += MEAN_RUN_TIME_WEIGHT * (run_time - self.mean_run_time)
        else:
            self.mean_run_time += run_time

    def record_attempt(self, request: Request) -> None:
        """Update the weighted memory with an attempt's reserved memory."""
        weight = min(request.run_time / max(self.mean_run_time, RUN_TIME_MIN), RUN_TIME_WEIGHT_MAX)
        self.weighted_memory_mb += (
            EWMA_WEIGHT * weight / 2 * (request.reserved_memory_mb - self.weighted_memory_mb)
        )

    def record_answer(self, request: Request, ended: AttemptEnded) -> float:
        """Update the estimates with the answer to a request; return its run time in µs."""
        class_index = request.class_index
        threads = request.class_settings.threads
        self.answer_counts[class_index] += 1
        work = self._work_done(request, ended)
        weight = EWMA_WEIGHT if self.work[class_index] else 1.0
        self.work[class_index] += weight * (work - self.work[class_index])
        if request.estimated_cost and ended.work:
            ratio = min(ended.work / request.estimated_cost, RATIO_LIMIT)
            self.cost_ratios[class_index] += EWMA_WEIGHT * (ratio - self.cost_ratios[class_index])
        if request.memory_mb and ended.memory_mb:
            self._record_memory(class_index, request.memory_mb, ended.memory_mb)
        run_time = max(work / threads, RUN_TIME_MIN)
        ratio = min(ended.latency / run_time, LATENCY_RATIO_LIMIT)
        self.latency_ratios[class_index] += EWMA_WEIGHT * (ratio - self.latency_ratios[class_index])
        return run_time

    def _work_done(self, request: Request, ended: AttemptEnded) -> float:
        """Return an answered request's work in µs: reported, or estimated, or its latency on all threads."""
        if self._context.settings.reports_cost and ended.work:
            return ended.work
        return request.cost or ended.latency * request.class_settings.threads

    def _record_memory(self, class_index: int, estimated_mb: float, used_mb: float) -> None:
        ratio = min(used_mb / estimated_mb, RATIO_LIMIT)
        self.memory_ratios[class_index] += MEMORY_RATIO_WEIGHT * (ratio - self.memory_ratios[class_index])
        was_short = used_mb > estimated_mb * self.grant_ratios[class_index]
        step = GRANT_QUANTILE if was_short else GRANT_QUANTILE - 1
        self.grant_ratios[class_index] *= 1 + GRANT_STEP * step

    def memory_grant_mb(self, request: Request) -> float:
        """Return the memory grant in MB, which covers the need of most requests of the class."""
        return request.memory_mb * self.grant_ratios[request.class_index]

    def memory_to_reserve_mb(self, request: Request) -> float:
        """Return the memory in MB to count against an engine for the request.

        It lies halfway between the mean need and the grant because the estimates are rough.
        """
        class_index = request.class_index
        return request.memory_mb * (self.memory_ratios[class_index] + self.grant_ratios[class_index]) / 2

    def expected_latency(self, request: Request) -> float:
        """Return the latency in µs to expect of an attempt, given the class's current latency ratio."""
        run_time = max(request.run_time, self._context.settings.timer_resolution)
        return run_time * max(self.latency_ratios[request.class_index], 1.0)

    def delay_reference(self, class_index: int) -> float:
        """Return a class's reference delay: its latency objective times mean work over priority weight."""
        class_settings = self._context.settings.classes[class_index]
        work = self.work[class_index]
        stretch = class_settings.latency_objective_stretch * work / class_settings.threads
        objective = class_settings.latency_objective + stretch
        return objective * (work or 1.0) / class_settings.priority_weight
