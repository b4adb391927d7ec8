package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.feed.FeedFollower;
import org.ragworthook.gateway.feed.StoreHealth;
import org.ragworthook.wire.load.FeedVersion;
import org.ragworthook.wire.load.LoadReport;

/**
 * The section of load reports about changes that this process has received from the
 * platform. A peer whose watch does not deliver such a change has lost its watch and
 * lists the collection.
 * <p>
 * After an outage of the store, changes are reported only once all live entries are
 * listed again, so that no peer lists the collection before. Used on the event loop.
 */
public final class FeedVersionReports implements ReportSection {

	/** How long a change is repeated in reports, since single reports may be lost. */
	static final Duration REPEAT_PERIOD = Duration.ofMillis(300);

	/**
	 * Minimum interval between two repetitions: reports are also sent ahead of the next
	 * round.
	 */
	static final Duration MIN_INTERVAL = Duration.ofMillis(80);

	private final StoreHealth health;

	private final Ticker ticker;

	private final Map<String, FollowedFeed> feeds = new HashMap<>();

	private long lastWriteNanos;

	FeedVersionReports(StoreHealth health, Ticker ticker) {
		this.health = Objects.requireNonNull(health, "health is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.lastWriteNanos = ticker.nanos() - MIN_INTERVAL.toNanos();
	}

	/**
	 * Adds this section to the reports of a process.
	 * @param exchange the exchange that sends and receives the reports
	 * @param health whether the platform's store answers
	 * @param ticker the monotonic clock
	 * @return the section
	 */
	public static FeedVersionReports attach(LoadExchange exchange, StoreHealth health, Ticker ticker) {
		FeedVersionReports reports = new FeedVersionReports(health, ticker);
		exchange.add(reports);
		return reports;
	}

	/**
	 * Adds a collection that this process follows.
	 * @param follower the follower of the collection
	 */
	public void add(FeedFollower<?> follower) {
		this.feeds.put(follower.name(), new FollowedFeed(follower));
	}

	@Override
	public boolean hasChanges() {
		return this.health.untilSettled().isZero() && this.feeds.values().stream().anyMatch(FollowedFeed::isDue);
	}

	@Override
	public void write(LoadReport.Builder report) {
		// Only reports to all peers contain this section.
	}

	@Override
	public void writeToAll(LoadReport.Builder report) {
		long now = this.ticker.nanos();
		if (now - this.lastWriteNanos < MIN_INTERVAL.toNanos() || !hasChanges()) {
			return;
		}
		this.lastWriteNanos = now;
		this.feeds.forEach((name, feed) -> feed.write(name, report));
	}

	@Override
	public void read(LoadReport report) {
		for (FeedVersion received : report.getFeedVersionsList()) {
			FollowedFeed feed = this.feeds.get(received.getFeed());
			if (feed != null) {
				feed.follower.expectVersion(received.getVersion());
			}
		}
	}

	/**
	 * What is reported of a collection.
	 */
	private final class FollowedFeed {

		private final FeedFollower<?> follower;

		private long reportedVersion;

		private long reportedSinceNanos;

		FollowedFeed(FeedFollower<?> follower) {
			this.follower = follower;
		}

		boolean isDue() {
			return this.follower.newestChange() > this.reportedVersion || (this.reportedVersion > 0
					&& FeedVersionReports.this.ticker.nanos() - this.reportedSinceNanos <= REPEAT_PERIOD.toNanos());
		}

		void write(String name, LoadReport.Builder report) {
			if (!isDue()) {
				return;
			}
			if (this.follower.newestChange() > this.reportedVersion) {
				this.reportedVersion = this.follower.newestChange();
				this.reportedSinceNanos = FeedVersionReports.this.ticker.nanos();
			}
			report.addFeedVersions(FeedVersion.newBuilder().setFeed(name).setVersion(this.reportedVersion));
		}

	}

}
