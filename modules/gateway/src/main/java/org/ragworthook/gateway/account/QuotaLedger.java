package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.ragworthook.core.time.Ticker;

/**
 * Enforces account quotas across all entries without a coordinator.
 * <p>
 * Each entry keeps a token bucket of the account's whole quota. It debits the bucket by
 * the requests that it sends itself and by those that its peers report, so the whole
 * quota is available wherever an account's callers arrive. While some entries are
 * unreachable, the bucket is scaled down to the share of those that can be reached: the
 * others may be alive behind a network partition and use their share. Until its peers
 * know of its latest requests, an entry takes no more than its usual share of the
 * remaining tokens; otherwise a burst that arrives at all entries would take the whole
 * bucket at each of them. Requests beyond the limit are debited as debt and so delay
 * later ones. Not thread-safe: used on the event loop.
 */
public final class QuotaLedger {

	/**
	 * How long a changed count is included in reports: it goes out once or twice, and
	 * since counts are cumulative, a later report makes up for a lost one.
	 */
	static final Duration REPORT_WINDOW = Duration.ofMillis(150);

	/** Maximum debt of a bucket, in seconds of the account's rate. */
	private static final double MAX_DEBT_SECONDS = 5;

	/** Time until peers have received a report that is sent immediately. */
	static final Duration REPORT_DELAY = Duration.ofMillis(40);

	/**
	 * Requests that an entry may always take before its peers know of them, provided that
	 * as many tokens remain for each entry.
	 */
	private static final int MIN_UNREPORTED = 2;

	/**
	 * Time constant of the moving average of an entry's share of the traffic, in seconds.
	 */
	private static final double TRAFFIC_DECAY_SECONDS = 2;

	/**
	 * Weight of the equal share in the estimate of an entry's traffic share, in requests
	 * of all entries: with fewer observed requests, the equal share dominates.
	 */
	private static final double EQUAL_SHARE_WEIGHT = 4;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Ticker ticker;

	private final long startedMillis;

	private final Supplier<Accounts> accounts;

	private final DoubleSupplier reachableShare;

	private final IntSupplier entryCount;

	private final RandomGenerator random;

	private Runnable sendReport = () -> {
	};

	private final Map<Integer, Bucket> buckets = new HashMap<>();

	private QuotaLedger(Ticker ticker, long startedMillis, Supplier<Accounts> accounts, DoubleSupplier reachableShare,
			IntSupplier entryCount, RandomGenerator random) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.startedMillis = startedMillis;
		this.accounts = Objects.requireNonNull(accounts, "accounts is null");
		this.reachableShare = Objects.requireNonNull(reachableShare, "reachableShare is null");
		this.entryCount = Objects.requireNonNull(entryCount, "entryCount is null");
		this.random = Objects.requireNonNull(random, "random is null");
	}

	/**
	 * Returns a ledger with full buckets.
	 * @param ticker the monotonic clock
	 * @param startedMillis when this run of the process started, in milliseconds of Unix
	 * time
	 * @param accounts returns the accounts of the active configuration
	 * @param reachableShare returns the fraction of all entries that can be reached, this
	 * one included; above 0 and up to 1
	 * @param entryCount returns the number of entries, this one included
	 * @param random spreads the retry times of refused callers
	 * @return a new ledger
	 */
	public static QuotaLedger of(Ticker ticker, long startedMillis, Supplier<Accounts> accounts,
			DoubleSupplier reachableShare, IntSupplier entryCount, RandomGenerator random) {
		return new QuotaLedger(ticker, startedMillis, accounts, reachableShare, entryCount, random);
	}

	/**
	 * Sets the task that reports usage to the peers immediately.
	 * @param task sends a report
	 */
	public void onReportDue(Runnable task) {
		this.sendReport = Objects.requireNonNull(task, "task is null");
	}

	/**
	 * Takes a token for a request from an account's bucket. Each token that was taken has
	 * to be followed by {@link #recordSent(ClientAccount)} or
	 * {@link #release(ClientAccount)}.
	 * @param account the account
	 * @return empty if a token was taken, else the time after which to retry: when the
	 * bucket has a token again at the account's full rate, since callers may retry at any
	 * entry, plus random jitter so that refused callers do not all return at once
	 */
	public Optional<Duration> tryAcquire(ClientAccount account) {
		if (!account.quota().limited()) {
			return Optional.empty();
		}
		Bucket bucket = bucket(account);
		long now = this.ticker.nanos();
		if (bucket.level >= 1 && tryTake(bucket, now)) {
			return Optional.empty();
		}
		return Optional.of(retryAfter(bucket, account.quota()));
	}

	private boolean tryTake(Bucket bucket, long now) {
		int unreported = bucket.unreported(now);
		double allowance = bucket.allowance(now, this.entryCount.getAsInt());
		if (unreported >= allowance) {
			return false;
		}
		bucket.take();
		if (unreported + 1 >= allowance) {
			this.sendReport.run();
		}
		return true;
	}

	private Duration retryAfter(Bucket bucket, Quota quota) {
		double seconds = Math.max(0, 1 - bucket.level) / quota.perSecond();
		double spread = Math.max(seconds, REPORT_DELAY.toNanos() / NANOS_PER_SECOND) * this.random.nextDouble();
		return Duration.ofNanos((long) ((seconds + spread) * NANOS_PER_SECOND));
	}

	/**
	 * Describes the state of an account's quota for the log.
	 * @param account the account
	 * @return the remaining tokens in this entry's view and the fraction of entries that
	 * can be reached, separated by a slash
	 */
	public String summary(ClientAccount account) {
		return String.format(Locale.ROOT, "%.1f/%.2f", bucket(account).level, this.reachableShare.getAsDouble());
	}

	/**
	 * Returns the token of a request that will not be sent to an upstream.
	 * @param account the account
	 */
	public void release(ClientAccount account) {
		if (account.quota().limited()) {
			bucket(account).level++;
		}
	}

	/**
	 * Called when a request whose token was taken is sent to an upstream. The request is
	 * included in the reports to peers.
	 * @param account the account
	 */
	public void recordSent(ClientAccount account) {
		if (account.quota().limited()) {
			Bucket bucket = bucket(account);
			bucket.sent++;
			bucket.lastSentNanos = Optional.of(this.ticker.nanos());
		}
	}

	/**
	 * Returns the usage to report to peers.
	 * @return the usage of accounts that sent a request within the report window
	 */
	public List<Usage> recentUsage() {
		long since = this.ticker.nanos() - REPORT_WINDOW.toNanos();
		List<Usage> recent = new ArrayList<>();
		this.buckets.forEach((tag, bucket) -> {
			if (bucket.lastSentNanos.filter((sent) -> sent - since >= 0).isPresent()) {
				recent.add(new Usage(tag, bucket.sent, (int) Math.floor(bucket.level)));
			}
		});
		return recent;
	}

	/**
	 * Debits an account by the requests that a peer reports. The count of a peer that
	 * started before this process includes earlier requests, so its first report replaces
	 * the token count here if it is lower, instead of being debited.
	 * @param peer the peer's name
	 * @param peerStartedMillis when the peer's run started, in milliseconds of Unix time
	 * @param usage the reported usage
	 */
	public void applyPeerUsage(String peer, long peerStartedMillis, Usage usage) {
		Optional<ClientAccount> account = this.accounts.get()
			.byTag(usage.tag())
			.filter((known) -> known.quota().limited());
		if (account.isEmpty()) {
			return;
		}
		Bucket bucket = bucket(account.get());
		PeerCount previous = bucket.peerCounts.get(peer);
		boolean sameRun = previous != null && previous.startedMillis == peerStartedMillis;
		// Reports may arrive out of order, even those of two runs of the same peer.
		if (previous != null
				&& (sameRun ? usage.sent() <= previous.sent : peerStartedMillis < previous.startedMillis)) {
			return;
		}
		bucket.peerCounts.put(peer, new PeerCount(peerStartedMillis, usage.sent()));
		if (!sameRun && peerStartedMillis < this.startedMillis) {
			bucket.level = Math.min(bucket.level, usage.remaining());
			return;
		}
		long added = usage.sent() - (sameRun ? previous.sent : 0);
		bucket.recordTraffic(this.ticker.nanos(), 0, added);
		double lowest = -account.get().quota().perSecond() * MAX_DEBT_SECONDS;
		bucket.level = Math.max(Math.min(bucket.level, lowest), bucket.level - added);
	}

	private Bucket bucket(ClientAccount account) {
		long now = this.ticker.nanos();
		double reachableShare = this.reachableShare.getAsDouble();
		double capacity = Math.max(1, account.quota().burst() * reachableShare);
		Bucket bucket = this.buckets.computeIfAbsent(account.tag(), (tag) -> new Bucket(capacity, now));
		double refill = (now - bucket.refilledNanos) / NANOS_PER_SECOND * account.quota().perSecond() * reachableShare;
		bucket.level = Math.min(capacity, bucket.level + refill);
		bucket.refilledNanos = now;
		return bucket;
	}

	/**
	 * The usage of an account that a process reports to its peers.
	 *
	 * @param tag the account's tag
	 * @param sent number of requests that the process has sent in this run
	 * @param remaining tokens in the process's view of the bucket; negative while in debt
	 */
	public record Usage(int tag, long sent, int remaining) {
	}

	/**
	 * The last count that a peer has reported for an account.
	 *
	 * @param startedMillis when the peer's run started, in milliseconds of Unix time
	 * @param sent number of requests that the peer has sent in that run
	 */
	private record PeerCount(long startedMillis, long sent) {
	}

	/** The token bucket of an account in this process's view. */
	private static final class Bucket {

		private final Map<String, PeerCount> peerCounts = new HashMap<>();

		private double level;

		private long refilledNanos;

		private long unreportedSinceNanos;

		private int unreported;

		/**
		 * Exponentially decayed counts of requests sent by this entry and by all entries.
		 */
		private double ownTraffic;

		private double totalTraffic;

		private long trafficUpdatedNanos;

		private long sent;

		private Optional<Long> lastSentNanos = Optional.empty();

		Bucket(double level, long nowNanos) {
			this.level = level;
			this.refilledNanos = nowNanos;
			this.trafficUpdatedNanos = nowNanos;
			this.unreportedSinceNanos = nowNanos;
		}

		void take() {
			this.unreported++;
			this.level--;
		}

		/**
		 * Returns the number of tokens taken here that the peers cannot know of yet.
		 * @param nowNanos the ticker's reading in nanoseconds
		 * @return the number of tokens
		 */
		int unreported(long nowNanos) {
			if (nowNanos - this.unreportedSinceNanos >= REPORT_DELAY.toNanos()) {
				recordTraffic(nowNanos, this.unreported, this.unreported);
				this.unreportedSinceNanos = nowNanos;
				this.unreported = 0;
			}
			return this.unreported;
		}

		/**
		 * Returns how many tokens this entry may take before its peers know of them. The
		 * remaining tokens are divided by the entries' shares of recent traffic, or
		 * equally while there is little traffic.
		 * @param nowNanos the ticker's reading in nanoseconds
		 * @param entryCount the number of entries
		 * @return the number of tokens, including those already taken but not reported
		 */
		double allowance(long nowNanos, int entryCount) {
			recordTraffic(nowNanos, 0, 0);
			double trafficShare = (this.ownTraffic + EQUAL_SHARE_WEIGHT / entryCount)
					/ (this.totalTraffic + EQUAL_SHARE_WEIGHT);
			double available = this.level + this.unreported;
			double equalShare = Math.ceil(MIN_UNREPORTED * available / entryCount);
			return Math.max(Math.min(MIN_UNREPORTED, equalShare), Math.ceil(trafficShare * available));
		}

		void recordTraffic(long nowNanos, long ownCount, long totalCount) {
			double decay = Math
				.exp(-(nowNanos - this.trafficUpdatedNanos) / (TRAFFIC_DECAY_SECONDS * NANOS_PER_SECOND));
			this.ownTraffic = this.ownTraffic * decay + ownCount;
			this.totalTraffic = this.totalTraffic * decay + totalCount;
			this.trafficUpdatedNanos = nowNanos;
		}

	}

}
