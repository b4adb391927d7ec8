package org.ragworthook.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.ragworthook.gateway.memory.ByteBudget;
import org.ragworthook.gateway.memory.HeldBytes;
import org.ragworthook.gateway.memory.HeldKind;

/**
 * The bytes that this process holds for a connection to an upstream: of a request that is
 * not written yet and of an event that is not complete. Used on its event loop.
 */
final class ConnectionMemory {

	private final HeldBytes held;

	private int partBytes;

	/**
	 * Registers a connection until it is closed.
	 * @param budget limits the bytes
	 * @param channel the connection
	 * @param closer closes the connection
	 */
	ConnectionMemory(ByteBudget budget, Channel channel, Runnable closer) {
		this.held = budget.open(HeldKind.UPSTREAM, closer);
		channel.closeFuture().addListener((closed) -> this.held.close());
	}

	/**
	 * Counts the body of a request until it is written.
	 * @param requestId the id of the request, for the log
	 * @param length the number of bytes
	 * @param written completes when the request is written
	 */
	void writing(String requestId, int length, ChannelFuture written) {
		this.held.request(requestId);
		if (!written.isDone()) {
			this.held.add(length);
			written.addListener((done) -> this.held.remove(length));
		}
	}

	/**
	 * Sets the length of the incomplete event.
	 * @param bytes the number of bytes
	 */
	void part(int bytes) {
		if (bytes != this.partBytes) {
			this.held.remove(this.partBytes - bytes);
			this.held.add(bytes - this.partBytes);
			this.partBytes = bytes;
		}
	}

}
