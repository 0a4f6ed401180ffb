"""HTTP header names and paths of the platform."""

__all__ = [
    "ATTEMPT_ID",
    "COLD_MS",
    "CONTINUE_FROM",
    "DEADLINE_MS",
    "EXPECT_INSTANCE",
    "HOP_BY_HOP_HEADERS",
    "INSTANCE_ID",
    "INSTANCE_LOAD",
    "KV_BACKUP",
    "KV_HANDLE_PATH",
    "KV_MOVE_PATH",
    "LAST_EVENT_ID",
    "LENGTH_HINT",
    "MODEL",
    "NOT_EXECUTED",
    "PRIORITY",
    "PROMPT_PREFIX",
    "READY_PATH",
    "REPORT_PATH",
    "RESPONSE_SEAL",
    "RESUMES",
    "RETRY_AFTER",
    "SERVER_BRITTLE",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "STORE_ERA",
    "SYSTEM_HEADERS",
    "TENANT",
    "TOKEN_USAGE",
]

# The caller's id of one attempt; a client's retry carries a different one.
ATTEMPT_ID = "x-attempt-id"
DEADLINE_MS = "x-deadline-ms"
MODEL = "x-model"
# Prompt tokens and maximum output tokens, not the tokens used.
TOKEN_USAGE = "x-token-usage"
PROMPT_PREFIX = "x-prompt-prefix"
LENGTH_HINT = "x-length-hint"
LAST_EVENT_ID = "last-event-id"
# Id of the attempt that brought the first event of the stream that is resumed.
RESUMES = "resumes"
RETRY_AFTER = "retry-after"
# Set by an engine in all its responses once it starts to drain.
SERVER_LEAVING = "server-leaving"
# Requests per second that an engine accepts from all callers together.
SERVER_LIMIT = "server-limit"
# Requests per second that an engine may turn away for want of room before it falls over.
SERVER_BRITTLE = "server-brittle"
# Rises each time the store comes back from an older copy.
STORE_ERA = "store-era"
NOT_EXECUTED = "x-not-executed"
RESPONSE_SEAL = "x-response-seal"
INSTANCE_ID = "x-instance-id"
# Running requests, waiting requests, slots and, on a shared machine, the work time in percent.
INSTANCE_LOAD = "x-instance-load"
COLD_MS = "x-cold-ms"
EXPECT_INSTANCE = "x-expect-instance"
TENANT = "x-tenant"
PRIORITY = "x-request-priority"
KV_BACKUP = "x-kv-backup"
# Locates a generation's KV cache as IP:PORT/HANDLE.
CONTINUE_FROM = "kv-from"

SYSTEM_HEADERS = frozenset(
    {
        EXPECT_INSTANCE,
        TENANT,
        PRIORITY,
        KV_BACKUP,
        CONTINUE_FROM,
        DEADLINE_MS,
        "authorization",
        "kv-fetch",
        "x-expect-version",
        "x-hold",
        "x-pin-ms",
    }
)
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

READY_PATH = "/api/readyz"
REPORT_PATH = "/api/report"
KV_MOVE_PATH = "/api/kv-move"
KV_HANDLE_PATH = "/api/kv-handle/"
