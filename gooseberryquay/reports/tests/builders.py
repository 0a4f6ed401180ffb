"""Request records and declarations for the tests of reports."""

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.service import Service, ServiceKind
from gooseberryquay.ids import RequestId, ServiceId, WorkKind, WorkspaceId
from gooseberryquay.links.request_log import RequestRecord

MODEL = Service(id=ServiceId("yield-model"), kind=ServiceKind.MODEL, objective=0.95)
DECLARATION = Declaration(services={MODEL.id: MODEL})


def make_record(failure=None, token_count=10, late_gap_count=0, first_token_s=0.2):
    arrived_at_s = 1000.0
    return RequestRecord(
        RequestId("r"),
        WorkspaceId("clerks"),
        MODEL.id,
        WorkKind("summary"),
        arrived_at_s,
        first_token_at_s=arrived_at_s + first_token_s,
        token_count=token_count,
        late_gap_count=late_gap_count,
        failure=failure,
        ended_at_s=arrived_at_s + 3.0,
    )
