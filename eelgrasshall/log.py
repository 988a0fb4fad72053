"""Configuration of logging.

Components log through loguru directly; each message starts with the prefix of
its component, such as `rollout: `.  This module chooses the destination and
the format, plain or JSON, and forwards records of libraries that use the
standard `logging` module to loguru.
"""

import json
import logging
import sys
from typing import Any

import loguru

_PLAIN_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {message}\n{exception}"
)


def configure(*, level: str, json_lines: bool, stream: Any = None) -> None:
    """Sends all log output of the process to one stream.

    Args:
      level: The lowest level that is logged, such as `INFO`.
      json_lines: Whether each line is a JSON object.
      stream: The destination; standard error if None.
    """
    target = stream if stream is not None else sys.stderr
    loguru.logger.remove()
    if json_lines:
        loguru.logger.add(
            lambda message: target.write(_format_json(message.record)),
            level=level,
            format="{message}",
        )
    else:
        loguru.logger.add(
            target,
            level=level,
            format=lambda _: _PLAIN_FORMAT,
            colorize=False,
            backtrace=False,
            diagnose=False,
        )
    logging.basicConfig(handlers=[_LoguruHandler()], level=level, force=True)


def _format_json(record: Any) -> str:
    """Formats a log record as one line of JSON."""
    prefix, _, text = record["message"].partition(": ")
    document = {
        "time": record["time"].timestamp(),
        "level": record["level"].name,
        "part": prefix if text else "",
        "message": text or prefix,
    }
    if record["exception"] is not None:
        document["exception"] = repr(record["exception"].value)
    return json.dumps(document, ensure_ascii=False) + "\n"


class _LoguruHandler(logging.Handler):
    """Forwards records of the standard `logging` module to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a record with the library's name as its prefix."""
        prefix = record.name.partition(".")[0]
        loguru.logger.opt(exception=record.exc_info).log(
            record.levelname, "{}: {}", prefix, record.getMessage()
        )
