"""Header names, paths and object names that the platform defines."""

from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache

HEADERS = model.HeaderNames(
    request_id=b"x-attempt-id",
    time_budget=b"x-time-budget",
    seal=b"x-server-seal",
    target=b"x-target-instance",
    not_run=b"x-not-executed",
    retry_after=b"retry-after",
    leaving=b"server-leaving",
    rate_limit=b"server-limit",
    server_id=b"x-instance-id",
    part_seals=b"x-part-seals",
    parts_missing=b"x-parts-missing",
    workspace=b"x-tenant",
)

# Rises each time that the store has come back from a copy.
ERA_HEADER = b"store-era"

READINESS_PATH = "/-/readiness"
DIRECTORY_PATH = "/-/resolve"
OBJECTS_PATH = "/-/objects"

# The platform's name for the objects of each collection.
OBJECT_KINDS = {
    object_cache.Collection.CONFIGURATION: "config",
    object_cache.Collection.SERVERS: "servers",
    object_cache.Collection.EVACUATIONS: "evacuations",
    object_cache.Collection.HOSTS: "eelgrasshall-hosts",
    object_cache.Collection.ROLLOUTS: "rollouts",
}
# The one configuration object that is used; others of its kind are ignored.
CONFIGURATION_NAME = "main"
