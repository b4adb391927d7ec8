package org.ragworthook.wire.link;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.wire.tls.TlsIdentity;

/**
 * How links behave.
 *
 * @param heartbeat how long a link may be silent before this side sends a ping
 * @param timeout how long the other side may be silent before the link counts as lost
 * @param maxFrameBytes the largest frame taken; a larger one ends the link
 * @param tls the certificates of this process, empty for plain TCP
 */
public record LinkOptions(Duration heartbeat, Duration timeout, int maxFrameBytes, Optional<TlsIdentity> tls) {

	private static final Duration HEARTBEAT = Duration.ofSeconds(2);

	private static final Duration TIMEOUT = Duration.ofSeconds(6);

	private static final int MAX_FRAME_BYTES = 32 << 20;

	/**
	 * Checks the durations.
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
	 * Returns the options for plain TCP with the usual heartbeat.
	 * @return the options
	 */
	public static LinkOptions of() {
		return new LinkOptions(HEARTBEAT, TIMEOUT, MAX_FRAME_BYTES, Optional.empty());
	}

	/**
	 * Returns these options with other durations.
	 * @param newHeartbeat silence before a ping
	 * @param newTimeout silence before the link counts as lost
	 * @return the options
	 */
	public LinkOptions heartbeat(Duration newHeartbeat, Duration newTimeout) {
		return new LinkOptions(newHeartbeat, newTimeout, this.maxFrameBytes, this.tls);
	}

	/**
	 * Returns these options with mutual TLS.
	 * @param identity the certificates of this process
	 * @return the options
	 */
	public LinkOptions tls(TlsIdentity identity) {
		return new LinkOptions(this.heartbeat, this.timeout, this.maxFrameBytes, Optional.of(identity));
	}

}
