package org.ragworthook.daemon;

/**
 * A running entry or sidecar.
 */
public interface DaemonProcess extends AutoCloseable {

	/**
	 * Stops gracefully: takes no new work, finishes what is in progress within the drain
	 * time of the settings, and frees every resource.
	 */
	@Override
	void close();

}
