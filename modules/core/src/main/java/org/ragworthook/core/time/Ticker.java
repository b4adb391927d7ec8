package org.ragworthook.core.time;

/**
 * A monotonic source of time. Its readings are comparable within one process only.
 */
@FunctionalInterface
public interface Ticker {

	/**
	 * Returns the reading of the machine's monotonic clock.
	 * @return nanoseconds since an arbitrary origin
	 */
	long nanos();

	/**
	 * Returns the ticker of this machine.
	 * @return a ticker that reads {@link System#nanoTime()}
	 */
	static Ticker system() {
		return System::nanoTime;
	}

}
