"""Headers, paths and keys of the platform's interfaces; no other module may contain them."""

# ---- headers ----
REQUEST_ID = "x-request-id"
DEADLINE_MS = "x-deadline-ms"
EXPECT_INSTANCE = "x-expect-instance"
RESPONSE_STAMP = "x-response-stamp"
NOT_RUN = "x-not-run"
SERVER_LOAD = "x-server-load"
COLD_MS = "x-warmup-ms"
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"
PROMPT_PREFIX = "x-prompt-prefix"
TOKEN_COUNT = "x-token-count"
MODEL = "x-model"
TENANT = "x-tenant"
AUTHORIZATION = "authorization"
WAIT_MS = "x-wait-ms"
RETRY_AFTER = "retry-after"

# ---- HTTP paths for clients ----
READINESS_PATH = "/api/readiness"
JOB_PATH = "/api/lots/"
ITEM_BODY_PATH = "/api/items/"

# ---- HTTP paths of model servers ----
REPORT_PATH = "/api/report"

# ---- HTTP paths of the metadata store ----
READ_KEY = "/api/kv-key"
READ_RANGE = "/api/kv-range"
WATCH = "/api/kv-watch"
TRANSACTION = "/api/kv-txn"

# ---- keys of the metadata store ----
CONFIGURATION_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
RETIRE_PREFIX = "op/retire/"
RETIRE_STATUS_PREFIX = "status/retire/"
SERVER_PREFIX = "servers/"
