package org.ragworthook.gateway.memory;

import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;

/**
 * Limits the memory that a process holds for callers and upstreams that read slowly and
 * for uploads that are not complete. Used on the event loop.
 * <p>
 * Thousands of callers may stop reading at once while upstreams go on sending. Up to the
 * limit, what they send is held, so that their slots become free. Beyond it, the
 * connection is closed that has held the most for the longest: bytes times the time since
 * its last progress. A connection that reads normally has nothing held or recent
 * progress, whatever its speed.
 */
public final class ByteBudget {

	private static final EventLog LOG = EventLog.of(ByteBudget.class);

	/**
	 * Part of the process's memory. Held bytes may exist twice, on the heap and in a
	 * buffer of the network library; half of the memory is left for the program.
	 */
	private static final int MEMORY_DIVISOR = 4;

	/**
	 * Part of the limit that one connection may hold before reading from its upstream
	 * pauses: a few connections with long responses must not use up the memory of
	 * thousands with usual ones (13 KB).
	 */
	private static final int SHARE_DIVISOR = 16;

	/** Part of the limit from which on new requests are refused. */
	private static final double REFUSAL_SHARE = 0.9;

	/**
	 * Time without progress after which a connection gives way to new work. Callers count
	 * pauses of up to 1 s as normal.
	 */
	private static final Duration STALLED = Duration.ofSeconds(2);

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final long limit;

	private final Ticker ticker;

	private final Executor closing;

	private final Set<HeldBytes> open = new HashSet<>();

	private final Map<HeldKind, Long> heldByKind = new EnumMap<>(HeldKind.class);

	private long held;

	private long closedConnections;

	private ByteBudget(long limit, Ticker ticker, Executor closing) {
		this.limit = limit;
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.closing = Objects.requireNonNull(closing, "closing is null");
	}

	/**
	 * Creates a budget of which nothing is used.
	 * @param limit the limit in bytes, see {@link #limit(OptionalLong, long)}
	 * @param ticker the monotonic clock
	 * @param closing closes connections; later, so that a connection is not closed while
	 * it is being written to
	 * @return the budget
	 */
	public static ByteBudget of(long limit, Ticker ticker, Executor closing) {
		return new ByteBudget(limit, ticker, closing);
	}

	/**
	 * Returns a budget that is never exceeded.
	 * @return the budget
	 */
	public static ByteBudget unlimited() {
		return new ByteBudget(Long.MAX_VALUE, Ticker.system(), Runnable::run);
	}

	/**
	 * Returns the limit that follows from the memory of a process.
	 * @param memory the memory limit of the process in bytes, if one is set
	 * @param heap the limit of the heap in bytes
	 * @return the limit in bytes
	 */
	public static long limit(OptionalLong memory, long heap) {
		return Math.min(memory.orElse(heap), heap) / MEMORY_DIVISOR;
	}

	/**
	 * Registers a connection.
	 * @param kind for whom its bytes are held
	 * @param closer closes the connection, without waiting for its peer to read
	 * @return the bytes held for the connection
	 */
	public HeldBytes open(HeldKind kind, Runnable closer) {
		HeldBytes opened = new HeldBytes(this, kind, closer);
		this.open.add(opened);
		return opened;
	}

	/**
	 * Returns the limit.
	 * @return the limit in bytes
	 */
	public long limit() {
		return this.limit;
	}

	/**
	 * Returns how much one connection may hold before the source of its bytes is paused.
	 * It is the same for all connections.
	 * @return the number of bytes
	 */
	public long connectionShare() {
		return this.limit / SHARE_DIVISOR;
	}

	/**
	 * Returns whether new work can be accepted. While most of the limit is used, closes
	 * connections without recent progress, so that callers that stopped reading do not
	 * keep out others for as long as they stay connected.
	 * @return false if new work is to be refused
	 */
	public boolean admitsNewWork() {
		while (nearlyUsed() && now() - worst().progressNanos() >= STALLED.toNanos()) {
			closeWorst("stalled");
		}
		return !nearlyUsed();
	}

	private boolean nearlyUsed() {
		return this.held >= this.limit * REFUSAL_SHARE;
	}

	/**
	 * Returns the bytes that are held.
	 * @return the number of bytes
	 */
	public long held() {
		return this.held;
	}

	/**
	 * Returns the bytes that are held for one kind.
	 * @param kind for whom the bytes are held
	 * @return the number of bytes
	 */
	public long held(HeldKind kind) {
		return this.heldByKind.getOrDefault(kind, 0L);
	}

	/**
	 * Returns the number of connections that were closed because the limit was exceeded.
	 * @return the count since the start
	 */
	public long closedConnections() {
		return this.closedConnections;
	}

	long now() {
		return this.ticker.nanos();
	}

	void added(HeldKind kind, long bytes) {
		change(kind, bytes);
		while (this.held > this.limit) {
			closeWorst("over_budget");
		}
	}

	void removed(HeldKind kind, long bytes) {
		change(kind, -bytes);
	}

	void closed(HeldBytes connection, long bytes) {
		this.open.remove(connection);
		change(connection.kind(), -bytes);
	}

	private void change(HeldKind kind, long bytes) {
		this.held += bytes;
		this.heldByKind.merge(kind, bytes, Long::sum);
	}

	private HeldBytes worst() {
		long now = now();
		return this.open.stream()
			.max(Comparator.<HeldBytes>comparingDouble((connection) -> connection.weight(now))
				.thenComparingLong(HeldBytes::bytes))
			.orElseThrow();
	}

	private void closeWorst(String reason) {
		long now = now();
		HeldBytes worst = worst();
		this.closedConnections++;
		LOG.info("slow_reader_ended", "reason", reason, "for", worst.kind().label(), "request", worst.request(),
				"bytes", worst.bytes(), "unread_ms", (now - worst.progressNanos()) / NANOS_PER_MILLI, "held", this.held,
				"limit", this.limit);
		worst.close();
		this.closing.execute(worst.closer());
	}

}
