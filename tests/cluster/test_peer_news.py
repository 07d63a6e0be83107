"""News between nodes."""

from wharfcart.cluster.coordination import ChangeBatch, KeyChange
from wharfcart.cluster.mirror_link import PeerNews
from wharfcart.cluster.peer_news import NewsWriter, news_from_message

LARGE = b'{"routes": [' + b'{"name": "a"},' * 5000 + b"]}"


def test_news_arrive_as_they_were_written() -> None:
    changes = ChangeBatch(
        (
            KeyChange("op/config", 7, LARGE),
            KeyChange("servers/a", 8, b"small"),
            KeyChange("servers/b", 9, None, b"draining"),
            KeyChange("servers/c", 10, None),
            KeyChange("empty", 11, b""),
        ),
        12,
        complete=True,
    )
    news = news_from_message(NewsWriter().message(PeerNews(changes, 0.25)))
    assert news.changes == changes
    assert news.age_s == 0.25


def test_a_large_value_travels_compressed_and_is_compressed_once() -> None:
    writer = NewsWriter()
    news = PeerNews(ChangeBatch((KeyChange("op/config", 7, LARGE),), 7), 0.0)
    first = writer.message(news)
    assert first.ByteSize() < len(LARGE) / 10
    assert writer.message(news).changes[0].value is not None
    newer = PeerNews(ChangeBatch((KeyChange("op/config", 8, LARGE + b" "),), 8), 0.0)
    (change,) = news_from_message(writer.message(newer)).changes.changes
    assert change.value == LARGE + b" "
