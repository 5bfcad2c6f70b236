"""Verdicts on zones from all brokers' observations, and the checks that prevent wrong verdicts."""

from cypressledge.fleet.messages import EngineObservation, EngineObservations
from cypressledge.fleet.zones import health
from cypressledge.fleet.zones.health import BrokerObservations, Verdict, assess

S = 1_000_000
ZONES = ("a", "b", "c")
ENGINES = {10 * i + n: z for i, z in enumerate(ZONES) for n in range(4)}
ENGINES_OF = {z: [e for e, of in ENGINES.items() if of == z] for z in ZONES}


def observed(bad=(), good=(), late=()):
    return EngineObservations(
        [EngineObservation(e, 0, 0, 0, 0, 3, 0, 3, 700) for e in bad]
        + [EngineObservation(e, 3, 0, 0, 0, 0, 0, 0, 100) for e in good]
        + [EngineObservation(e, 0, 3, 0, 0, 0, 0, 0, 100) for e in late]
    )


def reports(*observations, age=0):
    return [BrokerObservations(f"n{i}", ZONES[i % 3], age, s) for i, s in enumerate(observations)]


def verdicts(*args, **more):
    return {z: f.verdict for z, f in assess(*args, **more).zones.items()}


def test_lost_slow_and_degraded_zones_are_distinguished():
    rest = ENGINES_OF["b"] + ENGINES_OF["c"]
    assert verdicts(reports(*[observed(ENGINES_OF["a"], rest)] * 3), ENGINES) == {
        "a": Verdict.LOST,
        "b": Verdict.HEALTHY,
        "c": Verdict.HEALTHY,
    }
    assert verdicts(reports(*[observed((), rest, ENGINES_OF["a"])] * 3), ENGINES)["a"] is Verdict.SLOW
    assert (
        verdicts(reports(*[observed(ENGINES_OF["a"][:2], rest + ENGINES_OF["a"][2:])] * 3), ENGINES)["a"]
        is Verdict.DEGRADED
    )
    assert (
        verdicts(reports(*[observed(ENGINES_OF["a"][:1], rest + ENGINES_OF["a"][1:])] * 3), ENGINES)["a"]
        is Verdict.HEALTHY
    )


def test_a_cut_path_is_not_a_lost_zone():
    # Only brokers in zone b can't reach zone a.
    broker_reports = reports(
        observed((), ENGINES_OF["a"]),
        observed(ENGINES_OF["a"], ENGINES_OF["b"]),
        observed((), ENGINES_OF["a"] + ENGINES_OF["c"]),
        observed((), ENGINES_OF["a"]),
        observed(ENGINES_OF["a"], ENGINES_OF["b"]),
        observed((), ENGINES_OF["a"]),
    )
    found = assess(broker_reports, ENGINES).zones["a"]
    assert found.verdict is Verdict.PATH_CUT
    assert "brokers in b alone" in found.reason


def test_an_isolated_broker_does_not_count():
    broker_reports = reports(observed(list(ENGINES)), *[observed((), list(ENGINES))] * 3)
    found = assess(broker_reports, ENGINES)
    assert set(found.isolated) == {"n0"}
    assert all(f.verdict is Verdict.HEALTHY for f in found.zones.values())


def test_a_rolling_release_is_not_a_loss():
    broker_reports = reports(*[observed(ENGINES_OF["a"], ENGINES_OF["b"])] * 3)
    assert verdicts(broker_reports, ENGINES, changing=frozenset(ENGINES_OF["a"]))["a"] is Verdict.RELEASE


def test_few_and_old_reports_give_no_verdict():
    assert set(verdicts([], ENGINES).values()) == {Verdict.INSUFFICIENT_DATA}
    assert verdicts(reports(observed(ENGINES_OF["a"]), age=4 * S), ENGINES)["a"] is Verdict.INSUFFICIENT_DATA
    assert (
        verdicts(reports(EngineObservations([EngineObservation(0, 0, 0, 0, 0, 1)])), ENGINES)["a"]
        is Verdict.INSUFFICIENT_DATA
    )


def test_answers_from_before_the_loss_do_not_hide_it():
    # The windows still contain two seconds of good answers; consecutive failures since then show the loss.
    seen = EngineObservations(
        [EngineObservation(e, 20, 0, 0, 0, 2, 0, 2, 600) for e in ENGINES_OF["a"]]
        + [EngineObservation(e, 20, 0, 0, 0, 0, 0, 0, 50) for e in ENGINES_OF["b"] + ENGINES_OF["c"]]
    )
    assert verdicts(reports(seen, seen, seen), ENGINES)["a"] is Verdict.LOST


def test_a_recent_answer_to_one_broker_outweighs_failures_at_others_for_a_while():
    bad, good = observed(ENGINES_OF["a"], ENGINES_OF["b"]), observed((), ENGINES_OF["a"] + ENGINES_OF["b"])
    broker_reports = [BrokerObservations("n0", "a", 0, bad), BrokerObservations("n3", "a", 0, bad)]
    assert (
        verdicts([*broker_reports, BrokerObservations("n1", "a", S // 2, good)], ENGINES)["a"]
        is Verdict.HEALTHY
    )
    assert verdicts([*broker_reports, BrokerObservations("n1", "a", S, good)], ENGINES)["a"] is Verdict.LOST


def test_one_engine_tried_of_four_gives_no_verdict_on_its_zone():
    assert verdicts(reports(*[observed(ENGINES_OF["a"][:1])] * 3), ENGINES)["a"] is Verdict.INSUFFICIENT_DATA


def test_without_each_check_the_assessment_finds_a_lost_zone(monkeypatch):
    all_engines = list(ENGINES)
    isolated_reports = [
        BrokerObservations("n0", "a", 0, observed(all_engines)),
        *[BrokerObservations(f"n{i}", "a", S, observed((), all_engines)) for i in (1, 2, 3)],
    ]
    cut_reports = reports(
        observed((), ENGINES_OF["a"]), observed(ENGINES_OF["a"]), observed((), ENGINES_OF["a"])
    )
    single_engine_reports = reports(*[observed(ENGINES_OF["a"][:1])] * 3)
    release_reports = reports(*[observed(ENGINES_OF["a"], ENGINES_OF["b"])] * 3)

    def verdict(broker_reports, changing=frozenset()):
        return assess(broker_reports, ENGINES, changing).zones["a"].verdict

    assert Verdict.LOST not in (
        verdict(isolated_reports),
        verdict(cut_reports),
        verdict(single_engine_reports),
        verdict(release_reports, frozenset(ENGINES_OF["a"])),
    )
    assert verdict(release_reports) is Verdict.LOST
    with monkeypatch.context() as patch:
        patch.setattr(health, "isolated_brokers", lambda broker_reports, engines: (yield) or {})
        assert verdict(isolated_reports) is Verdict.LOST
    with monkeypatch.context() as patch:
        patch.setattr(health, "has_recent_answer", lambda view, seen: False)
        assert verdict(cut_reports) is Verdict.LOST
    with monkeypatch.context() as patch:
        patch.setattr(health, "MIN_ENGINES_TRIED", 0.0)
        assert verdict(single_engine_reports) is Verdict.LOST
