"""One broker of many: what it does that is harmless alone but costs when every broker of a fleet does it."""

from tests.decisions.manager_driver import LOOKUP, REPORT, STEP, ManagerDriver, settings


def engines_met(slot, seed=1, peers=40, engines=30):
    """Engines one manager of a large fleet sends to over 20 s of light traffic: a lookup every 100 ms,
    each answered 300 ms later, as one of 40 brokers sees it."""
    driver = ManagerDriver(
        settings(LOOKUP, REPORT, broker_count=peers, broker_index=slot), engines=engines, seed=seed
    )
    owed = []
    for step in range(1000):
        if step % 5 == 0:
            driver.arrive(step + 1, cost=100_000)
            owed.append((step + 15, step + 1))
        while owed and owed[0][0] <= step:
            driver.end(owed.pop(0)[1])
        driver.handle(after=STEP)
    assert len(driver.sends) == 200
    return {s.engine for s in driver.sends}


def test_a_broker_of_many_keeps_to_engines_of_its_own():
    # Each engine met is a handshake and a connection the engine holds for it; with no load reports a
    # random guess of others' load used to scatter the sends over 10 to 12 of the 30 engines.
    met = [engines_met(slot=7, seed=seed) for seed in range(1, 6)]
    assert all(len(m) <= 8 for m in met)
    assert all(m == met[0] for m in met)  # its own order, not chance, says which


def test_the_fleet_still_covers_the_engines():
    # Every broker's own engines are another part of the fleet: together they meet nearly all of them.
    covered = set().union(*(engines_met(slot=slot) for slot in range(0, 40, 4)))
    assert len(covered) >= 25
