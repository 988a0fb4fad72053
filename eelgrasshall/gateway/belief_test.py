"""Tests of what a host believes."""

from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies

from eelgrasshall.gateway import belief
from eelgrasshall.gateway import exchange

_SERVERS = belief.Collection.SERVERS


class _Host:
    """A belief with what it led to."""

    def __init__(self):
        self.values: dict[str, object] = {}
        self.belief = belief.Belief(
            decode=lambda collection, name, document: document,
            listen=self._listen,
        )

    def _listen(self, news, value):
        if value is None:
            self.values.pop(news.name, None)
        else:
            self.values[news.name] = value


def _news(name: str, revision: int, document=None) -> belief.News:
    return belief.News(_SERVERS, name, revision, document)


@given(
    order=strategies.permutations(
        [
            _news("a", 1, "old"),
            _news("a", 3, None),
            _news("a", 5, "new"),
            _news("b", 2, "x"),
            _news("b", 4, None),
        ]
    )
)
def test_the_order_of_arrival_does_not_matter(order):
    host = _Host()
    for news in order:
        host.belief.apply(news)
    assert host.values == {"a": "new"}


def test_a_deletion_at_the_revision_of_the_object_counts():
    host = _Host()
    host.belief.apply(_news("a", 3, "x"))
    host.belief.apply(_news("a", 3, None))
    assert host.values == {}
    assert not host.belief.apply(_news("a", 3, "x"))


def test_a_list_implies_deletions_of_what_is_older():
    host = _Host()
    host.belief.apply(_news("a", 3, "x"))
    host.belief.apply(_news("b", 9, "x"))
    listing = belief.Listing((), 5)
    missing = host.belief.find_missing(listing, _SERVERS)
    assert [news.name for news in missing] == ["a"]


def test_held_news_keep_the_complete_revision_down():
    host = _Host()
    host.belief.advance(_SERVERS, 10)
    host.belief.hold(_news("a", 7))
    assert host.belief.complete(_SERVERS) == 6
    host.belief.release(_news("a", 7))
    assert host.belief.complete(_SERVERS) == 10


async def test_a_host_that_holds_a_deletion_takes_it_from_one_that_is_sure():
    sure, holding = _Host(), _Host()
    for host in (sure, holding):
        host.belief.apply(_news("a", 3, "x"))
        host.belief.advance(_SERVERS, 5)
    sure.belief.apply(_news("a", 7))
    sure.belief.advance(_SERVERS, 7)
    holding.belief.hold(_news("a", 7))
    holding.belief.advance(_SERVERS, 9)
    have = {each: holding.belief.complete(each) for each in belief.Collection}
    assert have[_SERVERS] < sure.belief.complete(_SERVERS)
    document = exchange.encode_belief(sure.belief, have)
    exchange.apply_belief(holding.belief, document)
    assert holding.values == {}
    assert holding.belief.complete(_SERVERS) == 9


class Exchanges(stateful.RuleBasedStateMachine):
    """Hosts that hear the store now and then and each other now and then."""

    hosts = 3
    names = ("a", "b", "c")

    def __init__(self):
        super().__init__()
        self.revision = 0
        self.log: list[belief.News] = []
        self.nodes = [_Host() for _ in range(self.hosts)]

    @stateful.rule(name=strategies.sampled_from(names))
    def change(self, name):
        """An object is written."""
        self.revision += 1
        self.log.append(_news(name, self.revision, f"v{self.revision}"))

    @stateful.rule(name=strategies.sampled_from(names))
    def delete(self, name):
        """An object is deleted."""
        self.revision += 1
        self.log.append(_news(name, self.revision))

    @stateful.rule(host=strategies.integers(0, hosts - 1))
    def listen(self, host):
        """A host hears the store."""
        node = self.nodes[host].belief
        for news in self.log:
            if news.revision > node.revision(_SERVERS):
                node.apply(news)
        node.advance(_SERVERS, self.revision)

    @stateful.rule(
        giver=strategies.integers(0, hosts - 1),
        taker=strategies.integers(0, hosts - 1),
    )
    def exchange(self, giver, taker):
        """A host fetches what another knows."""
        have = {
            each: self.nodes[taker].belief.revision(each)
            for each in belief.Collection
        }
        document = exchange.encode_belief(self.nodes[giver].belief, have)
        exchange.apply_belief(self.nodes[taker].belief, document)

    @stateful.invariant()
    def knows_what_it_says_it_knows(self):
        """A host that is complete up to a revision holds its state."""
        for node in self.nodes:
            reached = node.belief.revision(_SERVERS)
            truth = {}
            for news in self.log:
                if news.revision <= reached:
                    truth[news.name] = news.document
            expected = {k: v for k, v in truth.items() if v is not None}
            assert node.values == expected


TestExchanges = Exchanges.TestCase
