package org.ragworthook.core.time;

/**
 * A monotonic clock. Its readings can be compared only within one process.
 */
@FunctionalInterface
public interface Ticker {

	/**
	 * Returns the current reading of the clock.
	 * @return nanoseconds since an arbitrary origin
	 */
	long nanos();

	/**
	 * Returns the ticker of the Java virtual machine.
	 * @return a ticker that reads {@link System#nanoTime()}
	 */
	static Ticker system() {
		return System::nanoTime;
	}

}
