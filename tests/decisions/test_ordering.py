"""Order by key, and the pause after an uncertain end."""

from dataclasses import replace

import pytest

from cypressledge.decisions.contract import Outcome
from cypressledge.decisions.ordering import KeyOrder
from tests.decisions.parts import LOOKUP, START, context, request

PAUSE = 300_000 + 5_000  # µs: the settings' and the timer's resolution


def ordered():
    ctx = context(replace(LOOKUP, ordered=True), LOOKUP, ordering_key_cooldown=300_000)
    return ctx, KeyOrder(ctx)


def test_order_applies_to_classes_that_ask_for_it_and_requests_with_a_key():
    ctx, order = ordered()
    assert order.applies_to(request(ctx, key=7))
    assert not order.applies_to(request(ctx, key=0))
    assert not order.applies_to(request(ctx, class_index=1, key=7))


def test_one_of_a_key_is_first_and_the_next_follows_it():
    ctx, order = ordered()
    one, two, three = (request(ctx, number, key=7) for number in (1, 2, 3))
    other = request(ctx, 4, key=8)
    assert [order.join(made) for made in (one, two, three, other)] == [True, False, False, True]
    assert order.is_first(one)
    assert order.leave(two) is None  # its client has left: nobody's turn comes by that
    assert order.leave(one) is three
    assert order.leave(three) is None
    assert order.join(request(ctx, 5, key=7))


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_a_key_pauses_after_an_uncertain_end(outcome):
    ctx, order = ordered()
    one, two = request(ctx, 1, key=7), request(ctx, 2, key=7)
    order.record_end(one, outcome)
    assert not order.may_start(two)
    assert order.cooldowns.next_due_at() == START + PAUSE
    ctx.now += PAUSE
    assert list(order.cooldowns.expired(ctx.now)) == [2]
    assert order.may_start(two)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_no_pause_after_an_end_that_is_known(outcome):
    ctx, order = ordered()
    order.record_end(request(ctx, 1, key=7), outcome)
    assert order.may_start(request(ctx, 2, key=7))


def test_pauses_that_are_over_are_forgotten():
    ctx, order = ordered()
    for key in range(1, 100):
        order.record_end(request(ctx, key, key=key), Outcome.RESET)
    ctx.now += PAUSE
    order.end_period()
    assert order._cooldown_until == {}
