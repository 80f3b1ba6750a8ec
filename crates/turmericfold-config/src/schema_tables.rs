//! The schemas of the settings file and of a configuration.

use crate::schema::{Field, Schema, number, optional, required};

/// The names of the log levels.
pub(crate) const LOG_LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

/// The settings of one process.
pub(crate) const SETTINGS: Schema = Schema::Object(&[
    required(
        "process",
        "The identity of the process.",
        Schema::Object(PROCESS),
    ),
    required(
        "listen",
        "The addresses that the process listens on.",
        Schema::Object(LISTEN),
    ),
    required(
        "platform",
        "The base URLs of the platform.",
        Schema::Object(PLATFORM),
    ),
    optional(
        "limits",
        "Limits on callers and on shutdown.",
        Schema::Object(LIMITS),
    ),
    optional(
        "secrets",
        "Files that hold secrets.",
        Schema::Object(SECRETS),
    ),
    optional("log", "The levels that are logged.", Schema::Object(LOG)),
]);

const SECRETS: &[Field] = &[
    optional(
        "peers_key_file",
        "The file with the key that entry processes share.",
        Schema::Path,
    ),
    optional(
        "operators_token_file",
        "The file with the token that operators send.",
        Schema::Path,
    ),
];

const PROCESS: &[Field] = &[
    required(
        "name",
        "The name of the instance that the process runs on.",
        Schema::Name,
    ),
    required(
        "failure_domain",
        "The failure domain of the instance.",
        Schema::Name,
    ),
];

const LISTEN: &[Field] = &[
    required(
        "callers",
        "The address for callers, behind the platform's balancer.",
        Schema::Address,
    ),
    required(
        "peers",
        "The address for the other entry processes.",
        Schema::Address,
    ),
    required(
        "operators",
        "The address for operators: status, metrics and time line.",
        Schema::Address,
    ),
    optional(
        "advertised_peers",
        "The address at which peers reach this process, if not `peers`.",
        Schema::Address,
    ),
];

const PLATFORM: &[Field] = &[
    required(
        "store",
        "The base URL of the key-value service.",
        Schema::Url,
    ),
    required(
        "instances",
        "The base URL of the instance list.",
        Schema::Url,
    ),
];

const LIMITS: &[Field] = &[
    optional(
        "drain_ms",
        "How long callers are still accepted after a planned stop has begun, in milliseconds.",
        number(0, 600_000),
    ),
    optional(
        "body_bytes",
        "The largest request body, in bytes.",
        number(1, 16 << 20),
    ),
    optional(
        "answer_bytes",
        "The largest answer body, in bytes.",
        number(1, 16 << 20),
    ),
    optional(
        "shutdown_ms",
        "How long a graceful shutdown may take, in milliseconds.",
        number(100, 600_000),
    ),
    optional(
        "traffic_threads",
        "The number of threads that handle traffic.",
        number(1, 256),
    ),
];

const LOG: &[Field] = &[
    optional(
        "level",
        "The level of all modules.",
        Schema::Choice(LOG_LEVELS),
    ),
    optional(
        "modules",
        "The levels of individual modules, by name.",
        Schema::Keyed(&Schema::Choice(LOG_LEVELS)),
    ),
];

/// A configuration of the whole fleet.
pub(crate) const CONFIGURATION: Schema = Schema::Object(&[
    required(
        "profiles",
        "Profiles by name.",
        Schema::Named(&Schema::Object(PROFILE)),
    ),
    required(
        "services",
        "Services by name.",
        Schema::Named(&Schema::Object(SERVICE)),
    ),
    optional(
        "teams",
        "Teams by name.",
        Schema::Named(&Schema::Object(TEAM)),
    ),
    required(
        "fleet",
        "The rules of the whole fleet.",
        Schema::Object(FLEET),
    ),
]);

const PROFILE: &[Field] = &[
    required(
        "room",
        "The share of the fleet that the work may use.",
        Schema::Object(ROOM),
    ),
    required(
        "urgency",
        "How soon the work must be served.",
        Schema::Choice(&["background", "normal", "urgent"]),
    ),
    optional(
        "interruption",
        "How far the work tolerates interruption.",
        Schema::Object(INTERRUPTION),
    ),
];

const ROOM: &[Field] = &[
    required(
        "guaranteed_permille",
        "The share that is always granted on demand, in thousandths of the fleet.",
        number(0, 1_000),
    ),
    required(
        "ceiling_permille",
        "The share that is never exceeded, in thousandths of the fleet.",
        number(1, 1_000),
    ),
];

const INTERRUPTION: &[Field] = &[
    optional(
        "evictable",
        "Whether its tasks may be evicted.",
        Schema::Flag,
    ),
    optional(
        "checkpointable",
        "Whether its tasks can write a checkpoint.",
        Schema::Flag,
    ),
    optional(
        "max_evictions",
        "The maximum number of evictions of one task.",
        number(0, 1_000),
    ),
    optional(
        "notice_ms",
        "The time a task needs to write a checkpoint, in milliseconds.",
        number(0, 600_000),
    ),
];

const SERVICE: &[Field] = &[
    required(
        "profile",
        "The profile that the service runs under.",
        Schema::Name,
    ),
    required(
        "deadline_ms",
        "The deadline of requests that give none, in milliseconds.",
        number(1, 3_600_000),
    ),
    required(
        "max_run_ms",
        "The longest permitted run time of a request, in milliseconds.",
        number(1, 86_400_000),
    ),
    optional(
        "idempotent_writes",
        "Whether POST and PATCH are idempotent, so that they may run more than once.",
        Schema::Flag,
    ),
    required(
        "queue_requests",
        "The maximum number of requests that wait in one process.",
        number(0, 1_000_000),
    ),
    optional(
        "queue_bytes",
        "The maximum size of all requests that wait in one process, in bytes.",
        number(0, 1 << 32),
    ),
    optional(
        "runs_on",
        "The service whose endpoints it uses; its own endpoints if not set.",
        Schema::Name,
    ),
    optional("team", "The team of requests that give none.", Schema::Name),
    optional(
        "retry_permille",
        "The maximum number of retries of requests that may have run, per 1000 recent requests.",
        number(0, 100),
    ),
];

const TEAM: &[Field] = &[required(
    "quota",
    "The resources that its tasks may hold together in the whole fleet.",
    Schema::Object(RESOURCES),
)];

const RESOURCES: &[Field] = &[
    required(
        "cpu_millicores",
        "Thousandths of a processor core.",
        number(0, 1_000_000_000_000),
    ),
    required(
        "memory_bytes",
        "Bytes of memory.",
        number(0, 1_000_000_000_000_000_000),
    ),
    optional("accelerators", "Whole accelerators.", number(0, 1_000_000)),
];

const FLEET: &[Field] = &[
    required(
        "failure_domains",
        "The failure domains.",
        Schema::List(&Schema::Name, 1, 64),
    ),
    required(
        "shards_per_failure_domain",
        "The number of shards in each failure domain.",
        number(1, 64),
    ),
    required(
        "store_calls_per_s",
        "The maximum number of store calls per second of all processes together.",
        number(10, 1_000_000),
    ),
    optional(
        "freeze_automatic_changes",
        "Whether all automatic changes are frozen.",
        Schema::Flag,
    ),
];
