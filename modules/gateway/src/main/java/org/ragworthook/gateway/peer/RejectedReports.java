package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.Objects;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;

/**
 * Logs reports that cannot be used, at most one line a second: a sender may repeat such a
 * report ten times a second. Used on the event loop.
 */
final class RejectedReports {

	private static final EventLog LOG = EventLog.of(ReportChannel.class);

	private static final long INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	private static final int MAX_ERROR_CHARS = 200;

	private final Ticker ticker;

	private long nextNanos;

	private int rejected;

	RejectedReports(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.nextNanos = ticker.nanos();
	}

	/**
	 * Counts a report and logs it, unless another was logged within the last second.
	 * @param from the sender of the datagram
	 * @param error why the report cannot be used
	 */
	void add(Object from, String error) {
		this.rejected++;
		long now = this.ticker.nanos();
		if (now - this.nextNanos >= 0) {
			LOG.warning("report_malformed", "from", from, "error",
					(error.length() <= MAX_ERROR_CHARS) ? error : error.substring(0, MAX_ERROR_CHARS), "rejected",
					this.rejected);
			this.nextNanos = now + INTERVAL_NANOS;
		}
	}

}
