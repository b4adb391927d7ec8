package org.ragworthook.wire.link;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.netty.handler.ssl.SslContext;

/**
 * How links behave.
 *
 * @param heartbeat how long a link may be silent before this side sends a ping
 * @param timeout how long the other side may be silent before the link counts as lost
 * @param maxFrameBytes the largest frame taken; a larger one ends the link
 * @param serverTls the TLS context of the side that accepts, empty for plain TCP
 * @param clientTls the TLS context of the side that connects, empty for plain TCP
 */
public record LinkOptions(Duration heartbeat, Duration timeout, int maxFrameBytes, Optional<SslContext> serverTls,
		Optional<SslContext> clientTls) {

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
		Objects.requireNonNull(serverTls, "serverTls is null");
		Objects.requireNonNull(clientTls, "clientTls is null");
		if (timeout.compareTo(heartbeat) <= 0) {
			throw new IllegalArgumentException("timeout " + timeout + " is not longer than heartbeat " + heartbeat);
		}
	}

	/**
	 * Returns the options for plain TCP with the usual heartbeat.
	 * @return the options
	 */
	public static LinkOptions of() {
		return new LinkOptions(HEARTBEAT, TIMEOUT, MAX_FRAME_BYTES, Optional.empty(), Optional.empty());
	}

	/**
	 * Returns these options with other durations.
	 * @param newHeartbeat silence before a ping
	 * @param newTimeout silence before the link counts as lost
	 * @return the options
	 */
	public LinkOptions heartbeat(Duration newHeartbeat, Duration newTimeout) {
		return new LinkOptions(newHeartbeat, newTimeout, this.maxFrameBytes, this.serverTls, this.clientTls);
	}

	/**
	 * Returns these options with mutual TLS.
	 * @param server the context of the side that accepts
	 * @param client the context of the side that connects
	 * @return the options
	 */
	public LinkOptions tls(SslContext server, SslContext client) {
		return new LinkOptions(this.heartbeat, this.timeout, this.maxFrameBytes, Optional.of(server),
				Optional.of(client));
	}

}
