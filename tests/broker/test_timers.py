"""The timer queue of the event loop."""

from cypressledge.broker.timers import MIN_LENGTH_TO_COMPACT, TimerQueue


def test_timers_run_out_in_order_of_their_due_times_then_of_scheduling():
    timers = TimerQueue()
    for due_at, argument in ((20, "c"), (10, "a"), (20, "d"), (10, "b")):
        timers.schedule(due_at, print, argument)
    assert list(timers.pop_due(20)) == [(print, "a"), (print, "b"), (print, "c"), (print, "d")]


def test_a_timer_is_due_at_its_time_and_not_before():
    timers = TimerQueue()
    timers.schedule(10, print, "a")
    timers.schedule(11, print, "b")
    assert timers.next_due() == 10
    assert list(timers.pop_due(9)) == []
    assert list(timers.pop_due(10)) == [(print, "a")]
    assert (len(timers), timers.next_due()) == (1, 11)


def test_a_timer_scheduled_while_others_run_out_counts_if_it_is_due():
    timers = TimerQueue()
    timers.schedule(10, print, "first")
    popped = []
    for _, argument in timers.pop_due(10):
        popped.append(argument)
        if argument == "first":
            timers.schedule(10, print, "now")
            timers.schedule(11, print, "later")
    assert popped == ["first", "now"]
    assert len(timers) == 1


def test_an_empty_queue_has_nothing_due():
    timers = TimerQueue()
    assert (len(timers), timers.next_due(), list(timers.pop_due(10))) == (0, None, [])


def test_of_very_many_timers_those_that_are_not_needed_are_removed():
    """Regression: the timers of requests that were withdrawn at once stayed until their deadlines."""
    timers = TimerQueue()
    for number in range(2 * MIN_LENGTH_TO_COMPACT):
        timers.schedule(1_000_000 - number, print, number)
        timers.compact(lambda callback, argument: argument % 1000 == 0, 0)
    assert len(timers) <= MIN_LENGTH_TO_COMPACT
    arguments = [argument for _, argument in timers.pop_due(1_000_000)]
    assert arguments == sorted(arguments, reverse=True)
    assert {argument for argument in arguments if argument % 1000 == 0} == set(
        range(0, 2 * MIN_LENGTH_TO_COMPACT, 1000)
    )


def test_few_timers_are_all_kept():
    timers = TimerQueue()
    timers.schedule(10, print, "a")
    timers.compact(lambda callback, argument: False, 0)
    assert len(timers) == 1
