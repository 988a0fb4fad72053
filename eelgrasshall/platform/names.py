"""Names on the platform's wire."""

from eelgrasshall.gateway import belief
from eelgrasshall.gateway import model

HEADERS = model.HeaderNames(
    request_id=b"x-attempt-id",
    time_budget=b"x-time-budget",
    seal=b"x-server-seal",
    target=b"x-target-instance",
    not_run=b"x-not-executed",
    retry_after=b"retry-after",
    server_id=b"x-instance-id",
    part_seals=b"x-part-seals",
    parts_missing=b"x-parts-missing",
)

READINESS_PATH = "/-/readiness"
DIRECTORY_PATH = "/-/resolve"
OBJECTS_PATH = "/-/objects"

# The kinds of the store's objects, and the only object that counts where a
# kind has one.
KINDS = {
    belief.Collection.CONFIGURATION: "config",
    belief.Collection.SERVERS: "servers",
    belief.Collection.EVACUATIONS: "evacuations",
    belief.Collection.HOSTS: "eelgrasshall-hosts",
}
CONFIGURATION_OBJECT = "main"
