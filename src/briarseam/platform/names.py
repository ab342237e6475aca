"""Names of headers, paths and topics of the platform's wire formats."""

from __future__ import annotations

import typing

# Request headers that callers set.
REQUEST_ID: typing.Final = "Request-Id"
# Remaining time that the caller waits, not a point in time.
TIME_LEFT_MS: typing.Final = "Deadline-Ms"
AUTHORIZATION: typing.Final = "Authorization"
MODEL: typing.Final = "Model"
# Number of prompt tokens and maximum number of output tokens.
TOKEN_COUNTS: typing.Final = "Token-Usage"
# Parts of the prompt in order; not a hash of the prompt.
PROMPT_PARTS: typing.Final = "Prefix-Hash"
LAST_EVENT_ID: typing.Final = "Last-Event-Id"
# Id of the request that brought a stream's first event, in a request for the
# rest of it.
RESUMES: typing.Final = "Resumes"

# In all answers of the store; increases when it is restored from a backup.
STORE_ERA: typing.Final = "Store-Era"

# Request headers that only the system sets.
EXPECT_ENDPOINT: typing.Final = "Expect-Instance"
EXPECT_VERSION: typing.Final = "Expect-Version"
ORGANISATION: typing.Final = "Tenant"
PRIORITY: typing.Final = "Request-Priority"
CACHE_SALT: typing.Final = "Cache-Salt"
CACHE_FETCH: typing.Final = "Kv-Fetch"
CACHE_SAVE: typing.Final = "Kv-Save"
CACHE_UNTIL: typing.Final = "Kv-Until"
CACHE_BACKUP: typing.Final = "Kv-Backup"
CACHE_FROM: typing.Final = "Kv-From"
PIN: typing.Final = "Pin-Ms"
RESERVATION: typing.Final = "Hold"

# Response headers.
NOT_EXECUTED: typing.Final = "Not-Executed"
SIGNATURE: typing.Final = "Response-Signature"
RETRY_AFTER: typing.Final = "Retry-After"
WEIGHT_VERSION: typing.Final = "Weight-Versions"
# Requests per second that an endpoint takes from all instances together.
RATE_LIMIT: typing.Final = "Server-Limit"
# Requests per second that an endpoint may reject before it fails.
REJECTION_LIMIT: typing.Final = "Server-Brittle"
# "1" in all answers of an endpoint that is shutting down.
LEAVING: typing.Final = "Server-Leaving"

# Calls of callers and of the platform.
READY_PATH: typing.Final = "/briarseam/readyz"
RESOLVE_PATH: typing.Final = "/briarseam/resolve"

# Calls to endpoints and stores of KV cache.
REPORT_PATH: typing.Final = "/briarseam/report"
ORDER_PATH: typing.Final = "/briarseam/order"
CACHE_EVENTS_PATH: typing.Final = "/briarseam/kv-events"
CACHE_LIST_PATH: typing.Final = "/briarseam/kv-list"
CACHE_FREE_PATH: typing.Final = "/briarseam/kv-free"
WAIT_MS: typing.Final = "Wait-Ms"

# Calls to the metadata store.
APPEND_PATH: typing.Final = "/briarseam/log-append"
READ_PATH: typing.Final = "/briarseam/log-read"
NEWEST_PATH: typing.Final = "/briarseam/log-newest"
JOIN_PATH: typing.Final = "/briarseam/log-join"
LEAVE_PATH: typing.Final = "/briarseam/log-leave"

# Topics.  The store keeps the newest record of each key in topics whose name
# begins with "keyed.".
OPERATOR_TOPIC: typing.Final = "keyed.op"
ENDPOINTS_TOPIC: typing.Final = "keyed.servers"
MEMBERS_TOPIC: typing.Final = "keyed.briarseam-members"
GOAL_TIMES_TOPIC: typing.Final = "keyed.briarseam-weights"
CRASHES_TOPIC: typing.Final = "keyed.briarseam-crash-records"
ORIGINS_TOPIC: typing.Final = "keyed.briarseam-stream-origins"
ORDERS_TOPIC: typing.Final = "briarseam-orders"
CONFIGURATION_KEY: typing.Final = "config"
VERSION_KEY_PREFIX: typing.Final = "version/"
EVACUATION_KEY_PREFIX: typing.Final = "evacuate/"
