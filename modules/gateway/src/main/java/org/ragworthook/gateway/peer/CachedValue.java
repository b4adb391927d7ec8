package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import org.ragworthook.core.time.Ticker;

/**
 * A value that is computed on demand and cached for a fixed time. Used on the event loop.
 *
 * @param <T> the type of the value
 */
final class CachedValue<T> {

	private final Ticker ticker;

	private final Duration lifetime;

	private final Supplier<T> source;

	private Optional<T> value = Optional.empty();

	private long computedNanos;

	CachedValue(Ticker ticker, Duration lifetime, Supplier<T> source) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.lifetime = Objects.requireNonNull(lifetime, "lifetime is null");
		this.source = Objects.requireNonNull(source, "source is null");
	}

	/**
	 * Returns the cached value, or computes it if there is none or its lifetime is over.
	 * @return the value
	 */
	T value() {
		long now = this.ticker.nanos();
		if (this.value.isEmpty() || now - this.computedNanos >= this.lifetime.toNanos()) {
			this.value = Optional.of(this.source.get());
			this.computedNanos = now;
		}
		return this.value.get();
	}

	/**
	 * Discards the cached value.
	 */
	void invalidate() {
		this.value = Optional.empty();
	}

}
