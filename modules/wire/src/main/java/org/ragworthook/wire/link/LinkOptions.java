package org.ragworthook.wire.link;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.wire.tls.TlsIdentity;

/**
 * The options of links.
 *
 * @param heartbeat the time without a write after which this side sends a ping
 * @param timeout the time without a read after which the link is closed
 * @param maxFrameBytes the maximum size of a received frame in bytes; a larger frame
 * closes the link
 * @param tls the certificates of this process, empty for plain TCP
 */
public record LinkOptions(Duration heartbeat, Duration timeout, int maxFrameBytes, Optional<TlsIdentity> tls) {

	private static final Duration DEFAULT_HEARTBEAT = Duration.ofSeconds(2);

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(6);

	private static final int DEFAULT_MAX_FRAME_BYTES = 32 << 20;

	/**
	 * Validates the durations.
	 * @throws IllegalArgumentException if the timeout is not longer than the heartbeat
	 */
	public LinkOptions {
		Objects.requireNonNull(heartbeat, "heartbeat is null");
		Objects.requireNonNull(timeout, "timeout is null");
		Objects.requireNonNull(tls, "tls is null");
		if (timeout.compareTo(heartbeat) <= 0) {
			throw new IllegalArgumentException("timeout " + timeout + " is not longer than heartbeat " + heartbeat);
		}
	}

	/**
	 * Returns the options for plain TCP with the default heartbeat, timeout and frame
	 * size.
	 * @return the options
	 */
	public static LinkOptions of() {
		return new LinkOptions(DEFAULT_HEARTBEAT, DEFAULT_TIMEOUT, DEFAULT_MAX_FRAME_BYTES, Optional.empty());
	}

	/**
	 * Returns these options with another heartbeat and timeout.
	 * @param newHeartbeat the time without a write after which this side sends a ping
	 * @param newTimeout the time without a read after which the link is closed
	 * @return the new options
	 */
	public LinkOptions heartbeat(Duration newHeartbeat, Duration newTimeout) {
		return new LinkOptions(newHeartbeat, newTimeout, this.maxFrameBytes, this.tls);
	}

	/**
	 * Returns these options with mutual TLS.
	 * @param identity the certificates of this process
	 * @return the new options
	 */
	public LinkOptions tls(TlsIdentity identity) {
		return new LinkOptions(this.heartbeat, this.timeout, this.maxFrameBytes, Optional.of(identity));
	}

}
