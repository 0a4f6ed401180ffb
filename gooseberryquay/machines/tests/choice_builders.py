"""Builders of upstreams, configurations and requests for the tests of upstream choice."""

import random
import time
from dataclasses import replace

from gooseberryquay.contracts import Declaration, Service, ServiceKind, Site, Workspace
from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.settings import ChoiceSettings
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import EntryId
from gooseberryquay.machines.cold_slots import NoColdSlots
from gooseberryquay.machines.dispatcher import WorkDispatcher
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.subset import SubsetRule
from gooseberryquay.machines.upstream_table import UpstreamTable
from gooseberryquay.machines.work import Work
from gooseberryquay.zones.configuration import Configuration

ZONES = ("sask-a", "sask-b", "sask-c")
SERVICE = "yield-model"
WARM = LoadReport(kv_total_tokens=10_000, step_s=0.02)


def build_upstream(number=1, **fields):
    declared = {
        "id": f"engine-{number}",
        "service": SERVICE,
        "zone": ZONES[number % len(ZONES)],
        "address": Address("127.0.0.1", 9000 + number),
    }
    return UpstreamDeclaration(**{**declared, **fields})


def build_configuration(upstreams, revision=1, workspaces=(), **fields):
    declaration = Declaration(
        services={SERVICE: Service(id=SERVICE, kind=ServiceKind.MODEL)},
        sites={"sask-central": Site(id="sask-central", zones=ZONES)},
        workspaces={each.id: each for each in workspaces},
        upstreams={each.id: each for each in upstreams},
    )
    return Configuration(revision=revision, declaration=declaration, **fields)


def build_workspace(name="clerks", **fields):
    return Workspace(id=name, **fields)


def build_work(**fields):
    work = Work(
        request_id="request-1",
        workspace="clerks",
        service=SERVICE,
        kind="summary",
        fingerprint="f",
        prompt_tokens=100,
        max_tokens=1000,
        prefix_hash="",
        deadline_at_s=time.monotonic() + 300.0,
        first_token_s=1.0,
        token_gap_s=0.071,
    )
    return replace(work, **fields)


class MutableConfiguration:
    """Configuration in force, which a test can replace."""

    def __init__(self, configuration):
        self.value = configuration

    def __call__(self):
        return self.value


def build_table(configuration, size=148):
    return UpstreamTable(configuration, SubsetRule(EntryId("entry-1"), size))


def build_dispatcher(configuration, settings=None, slots=None, table=None, reports=WARM, **fields):
    arguments = {
        "table": table or build_table(configuration),
        "settings": settings or ChoiceSettings(),
        "slots": slots or NoColdSlots(),
        "entry_count": lambda: 1,
        "queue_length_max": 100,
        "rng": random.Random(1),
    }
    dispatcher = WorkDispatcher(**{**arguments, **fields})
    arguments["table"].usable(SERVICE)
    for each in configuration.value.declaration.upstreams.values():
        if reports is not None:
            dispatcher.record_report(each.id, reports)
    return dispatcher
