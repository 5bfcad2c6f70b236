"""Queue of request ids by due time."""

from cypressledge.decisions.deadlines import DeadlineQueue


def test_due_requests_are_returned_once_and_earliest_first():
    queue = DeadlineQueue()
    for due_at, number in ((30, 1), (10, 2), (20, 3), (40, 4)):
        queue.schedule(due_at, number)
    assert list(queue.expired(30)) == [2, 3, 1]
    assert list(queue.expired(30)) == []
    assert queue.next_due_at() == 40
    assert list(queue.expired(40)) == [4]
    assert queue.next_due_at() is None


def test_requests_scheduled_during_the_iteration_are_returned_if_due():
    queue = DeadlineQueue()
    queue.schedule(10, 1)
    seen = []
    for number in queue.expired(20):
        seen.append(number)
        if number == 1:
            queue.schedule(15, 2)
            queue.schedule(25, 3)
    assert seen == [1, 2]
