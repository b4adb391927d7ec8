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
 * Holds accounts to their quotas over all entries, without a coordinator.
 * <p>
 * Each entry keeps a token bucket of the whole quota and debits it by what it sends
 * itself and by what its peers report that they have sent, so the quota is available
 * wherever an account's callers arrive. While some entries are not heard, a bucket is
 * scaled down to the share of those that are: the silent ones may be alive behind a
 * partition and use theirs. In the time until its peers know, an entry takes no more than
 * its usual part of what is left, so that a crowd at all entries does not take the bucket
 * once at each. What passes the limit all the same is paid back. Used on the event loop.
 */
public final class QuotaLedger {

	/**
	 * How long a changed count is reported: once or twice; the next one makes up for a
	 * loss.
	 */
	static final Duration REPORTED = Duration.ofMillis(150);

	/** Seconds of an account's rate that its bucket may fall below empty. */
	private static final double MAX_DEBT_SECONDS = 5;

	/** Until peers know of a request after a report that is sent at once. */
	static final Duration REPORT_DELAY = Duration.ofMillis(40);

	/**
	 * Requests that an entry may take before its peers know, where as many are left for
	 * each.
	 */
	private static final int LEAST_PART = 2;

	/** Over how much time an entry's part in an account's requests is averaged. */
	private static final double PART_SECONDS = 2;

	/** Requests of all entries that an entry has to know of to go by its own part. */
	private static final double PART_WEIGHT = 4;

	private static final double NANOS = 1e9;

	private final Ticker ticker;

	private final long startedMillis;

	private final Supplier<Accounts> accounts;

	private final DoubleSupplier share;

	private final IntSupplier entries;

	private final RandomGenerator random;

	private Runnable flush = () -> {
	};

	private final Map<Integer, Bucket> buckets = new HashMap<>();

	private QuotaLedger(Ticker ticker, long startedMillis, Supplier<Accounts> accounts, DoubleSupplier share,
			IntSupplier entries, RandomGenerator random) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.startedMillis = startedMillis;
		this.accounts = Objects.requireNonNull(accounts, "accounts is null");
		this.share = Objects.requireNonNull(share, "share is null");
		this.entries = Objects.requireNonNull(entries, "entries is null");
		this.random = Objects.requireNonNull(random, "random is null");
	}

	/**
	 * Returns a ledger in which nothing has been used.
	 * @param ticker the monotonic clock
	 * @param startedMillis when this run of the process started, Unix time
	 * @param accounts gives the accounts of the configuration in force
	 * @param share gives the share of all entries that is heard, this one included; above
	 * 0 up to 1
	 * @param entries gives how many entries there are, this one included
	 * @param random spreads the callers that are refused
	 * @return a new ledger
	 */
	public static QuotaLedger of(Ticker ticker, long startedMillis, Supplier<Accounts> accounts, DoubleSupplier share,
			IntSupplier entries, RandomGenerator random) {
		return new QuotaLedger(ticker, startedMillis, accounts, share, entries, random);
	}

	/**
	 * Sets what tells the peers at once what was used.
	 * @param task sends a report
	 */
	public void onReportDue(Runnable task) {
		this.flush = Objects.requireNonNull(task, "task is null");
	}

	/**
	 * Takes a request out of an account's quota. It is to be followed by
	 * {@link #recordSent(ClientAccount)} or {@link #release(ClientAccount)}.
	 * @param account the account
	 * @return empty if it was taken, else after which time there is room for one at the
	 * account's whole rate, since callers come back to any entry; spread, so that they do
	 * not all come at once
	 */
	public Optional<Duration> tryAcquire(ClientAccount account) {
		if (!account.quota().limited()) {
			return Optional.empty();
		}
		Bucket bucket = bucket(account);
		long now = this.ticker.nanos();
		if (bucket.level >= 1 && takePart(bucket, now)) {
			return Optional.empty();
		}
		return Optional.of(retryAfter(bucket, account.quota()));
	}

	private boolean takePart(Bucket bucket, long now) {
		int unknown = bucket.takenUnknown(now);
		double part = bucket.part(now, this.entries.getAsInt());
		if (unknown >= part) {
			return false;
		}
		bucket.taken();
		if (unknown + 1 >= part) {
			this.flush.run();
		}
		return true;
	}

	private Duration retryAfter(Bucket bucket, Quota quota) {
		double seconds = Math.max(0, 1 - bucket.level) / quota.perSecond();
		double spread = Math.max(seconds, REPORT_DELAY.toNanos() / NANOS) * this.random.nextDouble();
		return Duration.ofNanos((long) ((seconds + spread) * NANOS));
	}

	/**
	 * Tells how an account stands, for the log.
	 * @param account the account
	 * @return the requests that are left by this entry's view, and the share of the
	 * entries that it hears
	 */
	public String summary(ClientAccount account) {
		return String.format(Locale.ROOT, "%.1f/%.2f", bucket(account).level, this.share.getAsDouble());
	}

	/**
	 * Returns a request that was taken and will not be sent to an upstream.
	 * @param account the account
	 */
	public void release(ClientAccount account) {
		if (account.quota().limited()) {
			bucket(account).level++;
		}
	}

	/**
	 * Learns that a request that was taken is sent to an upstream; peers are told.
	 * @param account the account
	 */
	public void recordSent(ClientAccount account) {
		if (account.quota().limited()) {
			Bucket bucket = bucket(account);
			bucket.sent++;
			bucket.sentNanos = Optional.of(this.ticker.nanos());
		}
	}

	/**
	 * Returns what is to be told of accounts that have been used a moment ago.
	 * @return their usage
	 */
	public List<Usage> recentUsage() {
		long since = this.ticker.nanos() - REPORTED.toNanos();
		List<Usage> recent = new ArrayList<>();
		this.buckets.forEach((tag, bucket) -> {
			if (bucket.sentNanos.filter((sent) -> sent - since >= 0).isPresent()) {
				recent.add(new Usage(tag, bucket.sent, (int) Math.floor(bucket.level)));
			}
		});
		return recent;
	}

	/**
	 * Learns what a peer has sent. A peer that was there before this run began has a
	 * count from before; its view of the bucket is taken over with it.
	 * @param peer the peer
	 * @param peerStartedMillis when its run started, Unix time
	 * @param usage what it tells
	 */
	public void applyPeerUsage(String peer, long peerStartedMillis, Usage usage) {
		Optional<ClientAccount> account = this.accounts.get()
			.byTag(usage.tag())
			.filter((known) -> known.quota().limited());
		if (account.isEmpty()) {
			return;
		}
		Bucket bucket = bucket(account.get());
		Count before = bucket.peers.get(peer);
		boolean sameRun = before != null && before.startedMillis == peerStartedMillis;
		// Reports may overtake each other, also those of two runs.
		if (before != null && (sameRun ? usage.sent() <= before.sent : peerStartedMillis < before.startedMillis)) {
			return;
		}
		bucket.peers.put(peer, new Count(peerStartedMillis, usage.sent()));
		if (!sameRun && peerStartedMillis < this.startedMillis) {
			bucket.level = Math.min(bucket.level, usage.remaining());
			return;
		}
		long added = usage.sent() - (sameRun ? before.sent : 0);
		bucket.known(this.ticker.nanos(), 0, added);
		double lowest = -account.get().quota().perSecond() * MAX_DEBT_SECONDS;
		bucket.level = Math.max(Math.min(bucket.level, lowest), bucket.level - added);
	}

	private Bucket bucket(ClientAccount account) {
		long now = this.ticker.nanos();
		double part = this.share.getAsDouble();
		double capacity = Math.max(1, account.quota().burst() * part);
		Bucket bucket = this.buckets.computeIfAbsent(account.tag(), (tag) -> new Bucket(capacity, now));
		double refill = (now - bucket.refilledNanos) / NANOS * account.quota().perSecond() * part;
		bucket.level = Math.min(capacity, bucket.level + refill);
		bucket.refilledNanos = now;
		return bucket;
	}

	/**
	 * What a process tells of an account that it has used a moment ago.
	 *
	 * @param tag the account
	 * @param sent requests that it has sent in this run
	 * @param remaining requests that are left by its view of the bucket; negative after
	 * an excess
	 */
	public record Usage(int tag, long sent, int remaining) {
	}

	/**
	 * What a peer has told.
	 *
	 * @param startedMillis the run of the peer
	 * @param sent its requests in that run
	 */
	private record Count(long startedMillis, long sent) {
	}

	/**
	 * The quota of an account as this process sees it.
	 */
	private static final class Bucket {

		private final Map<String, Count> peers = new HashMap<>();

		private double level;

		private long refilledNanos;

		private long unknownSinceNanos;

		private int unknown;

		/** Requests that this entry has sent, and all together, fading with time. */
		private double own;

		private double all;

		private long knownNanos;

		private long sent;

		private Optional<Long> sentNanos = Optional.empty();

		Bucket(double level, long nowNanos) {
			this.level = level;
			this.refilledNanos = nowNanos;
			this.knownNanos = nowNanos;
			this.unknownSinceNanos = nowNanos;
		}

		void taken() {
			this.unknown++;
			this.level--;
		}

		/**
		 * Returns how many requests were taken here of which the peers cannot know yet.
		 * @param nowNanos the ticker's reading
		 * @return the count
		 */
		int takenUnknown(long nowNanos) {
			if (nowNanos - this.unknownSinceNanos >= REPORT_DELAY.toNanos()) {
				known(nowNanos, this.unknown, this.unknown);
				this.unknownSinceNanos = nowNanos;
				this.unknown = 0;
			}
			return this.unknown;
		}

		/**
		 * Returns how much of what is left this entry may take before its peers know: by
		 * its part in the requests of late, or an equal part while there were few.
		 * @param nowNanos the ticker's reading
		 * @param entries how many entries there are
		 * @return requests
		 */
		double part(long nowNanos, int entries) {
			known(nowNanos, 0, 0);
			double part = (this.own + PART_WEIGHT / entries) / (this.all + PART_WEIGHT);
			double left = this.level + this.unknown;
			double equal = Math.ceil(LEAST_PART * left / entries);
			return Math.max(Math.min(LEAST_PART, equal), Math.ceil(part * left));
		}

		void known(long nowNanos, long ownMore, long allMore) {
			double fading = Math.exp(-(nowNanos - this.knownNanos) / (PART_SECONDS * NANOS));
			this.own = this.own * fading + ownMore;
			this.all = this.all * fading + allMore;
			this.knownNanos = nowNanos;
		}

	}

}
