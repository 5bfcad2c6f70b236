"""Order of requests by key, and the cooldown after an uncertain outcome."""

from dataclasses import replace

import pytest

from cypressledge.decisions.contract import Outcome
from cypressledge.decisions.ordering import KeyOrder
from tests.decisions.parts import LOOKUP, START, make_context, make_request

COOLDOWN = 300_000 + 5_000  # µs; cooldown of the settings plus the timer resolution


def make_order():
    context = make_context(replace(LOOKUP, ordered=True), LOOKUP, ordering_key_cooldown=300_000)
    return context, KeyOrder(context)


def test_order_applies_to_ordered_classes_and_requests_with_a_key():
    context, order = make_order()
    assert order.applies_to(make_request(context, key=7))
    assert not order.applies_to(make_request(context, key=0))
    assert not order.applies_to(make_request(context, class_index=1, key=7))


def test_the_requests_of_a_key_become_first_in_order_of_arrival():
    context, order = make_order()
    one, two, three = (make_request(context, number, key=7) for number in (1, 2, 3))
    other = make_request(context, 4, key=8)
    assert [order.join(request) for request in (one, two, three, other)] == [True, False, False, True]
    assert order.is_first(one)
    assert order.leave(two) is None  # its client disconnected; `one` stays first
    assert order.leave(one) is three
    assert order.leave(three) is None
    assert order.join(make_request(context, 5, key=7))


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_an_uncertain_outcome_starts_the_cooldown_of_its_key(outcome):
    context, order = make_order()
    one, two = make_request(context, 1, key=7), make_request(context, 2, key=7)
    order.record_end(one, outcome)
    assert not order.may_start(two)
    assert order.cooldowns.next_due_at() == START + COOLDOWN
    context.now += COOLDOWN
    assert list(order.cooldowns.expired(context.now)) == [2]
    assert order.may_start(two)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_a_certain_outcome_starts_no_cooldown(outcome):
    context, order = make_order()
    order.record_end(make_request(context, 1, key=7), outcome)
    assert order.may_start(make_request(context, 2, key=7))


def test_cooldowns_that_are_over_are_dropped():
    context, order = make_order()
    for key in range(1, 100):
        order.record_end(make_request(context, key, key=key), Outcome.RESET)
    context.now += COOLDOWN
    order.end_period()
    assert order._cooldown_until == {}
