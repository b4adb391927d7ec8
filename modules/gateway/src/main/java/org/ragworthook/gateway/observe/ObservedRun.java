package org.ragworthook.gateway.observe;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.WorkClass;

/**
 * Adds the times of one attempt to the observations of its upstream.
 */
final class ObservedRun implements RunObserver {

	private static final long NONE = Long.MIN_VALUE;

	private final TrackedUpstream upstream;

	private final UpstreamObservations observations;

	private final Ticker ticker;

	private final Runnable onFailure;

	private long sentNanos = NONE;

	private long lastEventNanos = NONE;

	private final WorkClass work;

	private boolean slotFree;

	private boolean resumed;

	private boolean hasEvent;

	/**
	 * Whether events may have waited in this process; their gaps are not the upstream's.
	 */
	private boolean readingChanged;

	ObservedRun(TrackedUpstream upstream, WorkClass work, UpstreamObservations observations, Ticker ticker,
			Runnable onFailure) {
		this.upstream = Objects.requireNonNull(upstream, "upstream is null");
		this.work = Objects.requireNonNull(work, "work is null");
		this.observations = Objects.requireNonNull(observations, "observations is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.onFailure = Objects.requireNonNull(onFailure, "onFailure is null");
	}

	@Override
	public void sent(boolean resumesStream) {
		this.sentNanos = this.ticker.nanos();
		this.resumed = resumesStream;
		// Batch items are preempted for an online request, and their own first events may
		// have waited for one.
		this.slotFree = this.work == WorkClass.ONLINE
				&& this.upstream.onlineLoad() <= this.upstream.descriptor().slots();
	}

	@Override
	public void event() {
		long now = this.ticker.nanos();
		if (this.lastEventNanos != NONE && !this.readingChanged) {
			this.observations.gap(now, TimeUnit.NANOSECONDS.toMicros(now - this.lastEventNanos),
					LoadEffect.level(this.upstream.load(), this.upstream.descriptor().slots()));
		}
		if (!this.hasEvent && this.slotFree && !this.resumed && this.sentNanos != NONE) {
			this.observations.firstEvent(now, TimeUnit.NANOSECONDS.toMicros(now - this.sentNanos));
		}
		this.hasEvent = true;
		this.lastEventNanos = now;
	}

	@Override
	public void readingChanged() {
		this.readingChanged = true;
	}

	@Override
	public void ended(End end) {
		long now = this.ticker.nanos();
		this.observations.ended(now, end);
		if (end == End.COMPLETE && this.hasEvent && !this.resumed && !this.readingChanged) {
			this.observations.run(now, TimeUnit.NANOSECONDS.toMicros(now - this.sentNanos));
		}
		if (end == End.FAILED) {
			this.onFailure.run();
		}
	}

}
