"""Evaluation of all requirements from measured curves against their limits."""

from cypressledge.lab.capacity.broker_requirements import BROKER_REQUIREMENTS
from cypressledge.lab.capacity.failure_requirements import FAILURE_REQUIREMENTS
from cypressledge.lab.capacity.fleet_requirements import FLEET_REQUIREMENTS
from cypressledge.lab.capacity.requirements import Measurements, Requirement, RequirementResult
from cypressledge.lab.capacity.targets import TARGET_BROKERS
from cypressledge.lab.results import Results

REQUIREMENTS = (*BROKER_REQUIREMENTS, *FLEET_REQUIREMENTS, *FAILURE_REQUIREMENTS)
BISECTION_STEPS = 20  # for a precision of a millionth of the target's size


def evaluate(results: Results) -> list[RequirementResult]:
    """Evaluate all requirements. Raises `ResultsError` if a curve or fact is missing."""
    return [_evaluate_one(results, requirement) for requirement in REQUIREMENTS]


def _evaluate_one(results: Results, requirement: Requirement) -> RequirementResult:
    measurements = Measurements(results)
    value = requirement.figure.compute(measurements)
    limit = requirement.limit.resolve(measurements)
    passed_from = _passed_from(results, requirement, value, limit)
    return RequirementResult(requirement, value, limit, measurements.used, passed_from)


def _passed_from(
    results: Results, requirement: Requirement, value: float, limit: float | None
) -> float | None:
    """Return the number of brokers, with engines in proportion, above which the limit is exceeded."""
    if limit is None or value <= limit:
        return None
    low, high = 0.0, 1.0
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        passed = requirement.figure.compute(Measurements(results, middle)) > limit
        low, high = (low, middle) if passed else (middle, high)
    return high * TARGET_BROKERS
