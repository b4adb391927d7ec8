package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;

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
 * A change is in the next reports, and the newest one of each collection in about three a
 * second from then on: a peer may have started since, or not have been heard. The process
 * that checks a collection also states the number of its entries.
 * <p>
 * After an outage of the store, changes of a collection whose entries expire are reported
 * only once all live entries are listed again, so that no peer lists the collection
 * before. Used on the event loop.
 */
public final class FeedVersionReports implements ReportSection {

	/** How long a change is repeated in reports, since single reports may be lost. */
	static final Duration REPEAT_PERIOD = Duration.ofMillis(300);

	/**
	 * Minimum interval between two repetitions: reports are also sent ahead of the next
	 * round.
	 */
	static final Duration MIN_INTERVAL = Duration.ofMillis(80);

	/**
	 * Interval between statements of an unchanged state: less than between two reports of
	 * a process without changes.
	 */
	static final Duration STATEMENT_INTERVAL = Duration.ofMillis(350);

	/** Greatest age of a change that is stated; above, it makes no difference. */
	private static final Duration MAX_STATED_AGE = Duration.ofSeconds(1);

	private final StoreHealth health;

	private final Ticker ticker;

	private final Map<String, FollowedFeed> feeds = new HashMap<>();

	FeedVersionReports(StoreHealth health, Ticker ticker) {
		this.health = Objects.requireNonNull(health, "health is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
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
		add(follower, () -> true);
	}

	/**
	 * Adds a collection that this process follows and whose entries expire while their
	 * writers do not reach the platform.
	 * @param follower the follower of the collection
	 */
	public void addExpiring(FeedFollower<?> follower) {
		add(follower, () -> this.health.untilSettled().isZero());
	}

	private void add(FeedFollower<?> follower, BooleanSupplier complete) {
		this.feeds.put(follower.name(), new FollowedFeed(follower, complete));
	}

	@Override
	public boolean hasChanges() {
		return this.feeds.values().stream().anyMatch(FollowedFeed::isRecent);
	}

	@Override
	public void write(LoadReport.Builder report) {
		// Only reports to all peers contain this section.
	}

	@Override
	public void writeToAll(LoadReport.Builder report) {
		this.feeds.forEach((name, feed) -> feed.write(name, report));
	}

	@Override
	public void read(LoadReport report) {
		for (FeedVersion received : report.getFeedVersionsList()) {
			FollowedFeed feed = this.feeds.get(received.getFeed());
			if (feed != null) {
				feed.follower.expectVersion(received.getVersion(), Duration.ofMillis(received.getAgeMillis()));
				if (received.hasEntries()) {
					feed.follower.expectEntries(received.getVersion(), received.getEntries());
				}
			}
		}
	}

	/**
	 * What is reported of a collection.
	 */
	private final class FollowedFeed {

		private final FeedFollower<?> follower;

		private final BooleanSupplier complete;

		private long reportedVersion;

		private OptionalInt reportedEntries = OptionalInt.empty();

		/** When the state that is reported was first reported. */
		private Optional<Long> reportedSinceNanos = Optional.empty();

		private Optional<Long> lastWriteNanos = Optional.empty();

		FollowedFeed(FeedFollower<?> follower, BooleanSupplier complete) {
			this.follower = follower;
			this.complete = complete;
		}

		private boolean isNew() {
			OptionalInt verified = this.follower.verifiedEntries();
			return this.follower.newestChange() > this.reportedVersion
					|| (verified.isPresent() && !verified.equals(this.reportedEntries));
		}

		/**
		 * Returns whether the state is to be in the next report, whether or not there is
		 * another reason to send it.
		 * @return whether the state has changed a moment ago
		 */
		boolean isRecent() {
			return this.complete.getAsBoolean() && (isNew() || within(this.reportedSinceNanos, REPEAT_PERIOD));
		}

		void write(String name, LoadReport.Builder report) {
			Duration interval = isRecent() ? MIN_INTERVAL : STATEMENT_INTERVAL;
			boolean known = this.follower.newestChange() > 0 || this.follower.verifiedEntries().isPresent();
			if (!known || !this.complete.getAsBoolean() || within(this.lastWriteNanos, interval.minusNanos(1))) {
				return;
			}
			long now = FeedVersionReports.this.ticker.nanos();
			if (isNew()) {
				this.reportedSinceNanos = Optional.of(now);
			}
			this.lastWriteNanos = Optional.of(now);
			this.reportedVersion = this.follower.newestChange();
			FeedVersion.Builder statement = FeedVersion.newBuilder()
				.setFeed(name)
				.setVersion(this.reportedVersion)
				.setAgeMillis((int) Math.min(MAX_STATED_AGE.toMillis(), this.follower.newestChangeAge().toMillis()));
			this.follower.verifiedEntries().ifPresent((count) -> {
				this.reportedEntries = OptionalInt.of(count);
				statement.setEntries(count);
			});
			report.addFeedVersions(statement);
		}

		private boolean within(Optional<Long> since, Duration period) {
			return since.filter((start) -> FeedVersionReports.this.ticker.nanos() - start <= period.toNanos())
				.isPresent();
		}

	}

}
