import json

import pytest
from result import Ok

from gooseberryquay.links.http_client import HttpClient, TransportTimeout
from gooseberryquay.machines.load_report import UpstreamCondition, parse_load_report
from gooseberryquay.standins.engine import EngineStandIn
from gooseberryquay.standins.engine_faults import (
    Hang,
    Reclaim,
    RefuseStarts,
    TurnCold,
    WrongGeneration,
)
from gooseberryquay.standins.engine_settings import EngineSettings
from gooseberryquay.standins.generation import token_text
from gooseberryquay.standins.tests.builders import (
    body_of,
    event_indexes,
    open_stream,
    parts_of,
    read_some,
    read_stream,
    wait_until,
)

FAST = EngineSettings(step_base_s=0.002, step_per_sequence_s=0.0)


@pytest.fixture
def start_engine():
    engines = []

    def start(settings=FAST):
        engine = EngineStandIn(settings)
        engine.start()
        engines.append(engine)
        return engine, HttpClient("127.0.0.1", engine.port, read_timeout_s=20.0)

    yield start
    for engine in engines:
        engine.stop()


def test_stream_holds_each_token_once_in_order(start_engine):
    engine, client = start_engine()
    events = read_stream(open_stream(client, "gen-1", 20))
    assert event_indexes(events, "gen-1") == list(range(20))
    texts = [json.loads(event.data)["choices"][0]["text"] for event in events[:-1]]
    assert texts == [token_text("gen-1", index) for index in range(20)]
    assert events[-1].data == "[DONE]"
    assert engine.counts().runs == {"gen-1": 1}


def test_broken_stream_is_resumed_at_the_next_token(start_engine):
    engine, client = start_engine()
    stream = open_stream(client, "gen-1", 200)
    seen = read_some(stream, 3)
    stream.close()
    resumed = client.open("GET", f"/generations/gen-1?from={len(seen)}").unwrap()
    events = read_stream(resumed)
    assert event_indexes(events, "gen-1") == list(range(len(seen), 200))
    assert engine.counts().runs == {"gen-1": 1}


def test_unread_generation_is_cancelled_after_the_hold_time(start_engine):
    engine, client = start_engine(EngineSettings(step_base_s=0.01, hold_s=0.3))
    stream = open_stream(client, "gen-1", 30_000)
    read_some(stream, 1)
    stream.close()
    wait_until(lambda: engine.counts().cancelled == 1)
    assert client.send("GET", "/generations/gen-1").unwrap().status == 404


def test_delete_cancels_at_once(start_engine):
    engine, client = start_engine()
    stream = open_stream(client, "gen-1", 30_000)
    read_some(stream, 1)
    assert client.send("DELETE", "/generations/gen-1").unwrap().status == 200
    assert engine.counts().cancelled == 1
    assert engine.counts().finished == 0


def test_least_urgent_sequence_is_preempted_when_memory_is_full(start_engine):
    engine, client = start_engine(EngineSettings(step_base_s=0.002, kv_blocks=16))
    low = open_stream(client, "low", 150, priority=9)
    high = open_stream(client, "high", 150, priority=1)
    assert event_indexes(read_stream(high), "high") == list(range(150))
    assert event_indexes(read_stream(low), "low") == list(range(150))
    counts = engine.counts()
    assert set(counts.preempted) == {"low"}
    assert counts.preemptions == counts.preempted["low"]
    assert counts.stall_s > 0


def test_cached_prefix_is_not_computed_again(start_engine):
    engine, client = start_engine()
    prompt = "lot record " * 200
    read_stream(open_stream(client, "gen-1", 2, prompt=prompt))
    read_stream(open_stream(client, "gen-2", 2, prompt=prompt))
    assert engine.counts().cached_prompt_tokens > 500


def test_cold_engine_over_its_capacity_crashes_after_the_grace(start_engine):
    cold = EngineSettings(step_base_s=0.01, cold_s=60, cold_capacity=2, overload_grace_s=0.2)
    engine, client = start_engine(cold)
    streams = [open_stream(client, f"gen-{number}", 20_000) for number in range(3)]
    assert engine.counts().cold_cap_exceeded == 1
    assert engine.counts().peak_cold_in_flight == 3
    assert engine.has_crashed.wait(10)
    assert any(part.is_err() for part in parts_of(streams[0]))


def test_cold_engine_within_its_capacity_becomes_warm(start_engine):
    cold = EngineSettings(step_base_s=0.002, cold_s=60, cold_tokens=30, cold_capacity=2)
    engine, client = start_engine(cold)
    report = parse_load_report(client.send("GET", "/load").unwrap().body)
    assert report.condition is UpstreamCondition.COLD
    for number in range(2):
        read_stream(open_stream(client, f"gen-{number}", 20))
    report = parse_load_report(client.send("GET", "/load").unwrap().body)
    assert report.condition is UpstreamCondition.WARM
    assert engine.counts().cold_cap_exceeded == 0


def test_warm_engine_turns_cold_without_warning(start_engine):
    engine, client = start_engine()
    fault = TurnCold(cold_s=60).model_dump_json().encode()
    assert client.send("POST", "/standin/faults", fault).unwrap().status == 200
    headers = open_stream(client, "gen-1", 1).headers
    assert parse_load_report(headers["x-engine-load"]).condition is UpstreamCondition.COLD


def test_poison_request_crashes_the_engine(start_engine):
    engine, client = start_engine()
    stream = open_stream(client, "gen-1", 500, prompt="please crash-the-engine now")
    assert len(read_some(stream, 2)) >= 2
    assert engine.has_crashed.wait(10)


def test_reclaimed_engine_is_leaving_and_then_dies(start_engine):
    engine, client = start_engine()
    engine.apply_fault(Reclaim(after_s=3.0))
    stream = open_stream(client, "gen-1", 30_000)
    report = parse_load_report(stream.headers["x-engine-load"])
    assert report.condition is UpstreamCondition.LEAVING
    assert engine.counts().arrivals_while_leaving == 1
    assert engine.has_crashed.wait(10)
    assert any(part.is_err() for part in parts_of(stream))


def test_hanging_engine_resumes_where_it_stopped(start_engine):
    engine, client = start_engine()
    stream = open_stream(client, "gen-1", 300)
    engine.apply_fault(Hang(duration_s=3.0))
    load = client.send("GET", "/load", read_timeout_s=0.2)
    assert isinstance(load.unwrap_err(), TransportTimeout)
    assert event_indexes(read_stream(stream), "gen-1") == list(range(300))


@pytest.mark.parametrize("event_lag_s", [0.0, 3600.0])
def test_cache_events_come_late_and_with_gaps(start_engine, event_lag_s):
    settings = EngineSettings(event_lag_s=event_lag_s, event_drop_ratio=0.5)
    engine, client = start_engine(settings)
    read_stream(open_stream(client, "gen-1", 1, prompt="lot record " * 400))
    reply = client.send("GET", "/events?after=0").unwrap()
    numbers = [event["number"] for event in json.loads(reply.body)["events"]]
    assert numbers == sorted(numbers)
    assert len(numbers) < 4400 // 64
    assert bool(numbers) == (event_lag_s == 0.0)


def test_wrong_generation_fault_changes_the_event_id(start_engine):
    engine, client = start_engine()
    engine.apply_fault(WrongGeneration(tokens=1))
    events = read_stream(open_stream(client, "gen-1", 3))
    assert [event.id for event in events[:-1]] == ["gen-1x/0", "gen-1/1", "gen-1/2"]


def test_report_lags_behind_the_state(start_engine):
    engine, client = start_engine(EngineSettings(step_base_s=0.01, report_lag_s=30))
    stream = open_stream(client, "gen-1", 30_000)
    report = parse_load_report(client.send("GET", "/load").unwrap().body)
    assert (report.in_flight, report.age_s) == (0, 30)
    stream.close()


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_old_fencing_number_is_refused_only_by_engines_that_check(start_engine, checks_fencing):
    engine, client = start_engine(EngineSettings(order_s=0, checks_fencing=checks_fencing))
    statuses = []
    for number in (2, 1):
        order = json.dumps({"fencing_number": number, "order": "load", "name": "m"}).encode()
        statuses.append(client.send("POST", "/orders", order).unwrap().status)
    assert statuses == [200, 409 if checks_fencing else 200]
    assert len(engine.counts().orders) == (1 if checks_fencing else 2)


def test_complete_response_without_stream(start_engine):
    engine, client = start_engine()
    answer = client.send("POST", "/v1/completions", body_of(4, is_stream=False))
    match answer:
        case Ok(reply):
            assert json.loads(reply.body)["usage"]["completion_tokens"] == 4


def test_openai_client_reads_both_apis(start_engine):
    import openai

    engine, _ = start_engine()
    client = openai.OpenAI(base_url=f"http://127.0.0.1:{engine.port}/v1", api_key="none")
    extra = {"standin_output_tokens": 5}
    messages = [{"role": "user", "content": "check lot 7"}]
    chunks = list(
        client.chat.completions.create(model="m", messages=messages, stream=True, extra_body=extra)
    )
    assert len(chunks) == 5
    assert chunks[-1].choices[0].finish_reason == "stop"
    whole = client.completions.create(model="m", prompt="check lot 7", extra_body=extra)
    assert whole.choices[0].text.startswith("t0.")


def test_idle_engine_records_the_cold_state_without_polls(start_engine):
    engine, _ = start_engine()
    engine.apply_fault(TurnCold(cold_s=60.0))
    recorded = engine._batch.reports._recorded
    wait_until(lambda: recorded[-1][1].condition is UpstreamCondition.COLD)


def test_refused_starts_run_nothing_until_the_fault_ends(start_engine):
    engine, client = start_engine()
    engine.apply_fault(RefuseStarts())
    assert client.send("POST", "/v1/completions", body_of(5)).unwrap().status == 503
    engine.apply_fault(RefuseStarts(is_on=False))
    assert client.send("POST", "/v1/completions", body_of(5)).unwrap().status == 200
    counts = engine.counts()
    assert (counts.arrivals, counts.refused, len(counts.runs)) == (2, 1, 1)
