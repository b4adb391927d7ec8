package org.ragworthook.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A connection that records whether the peer has ended it in order. A connection that
 * ends in any other way, by a reset, a time-out, a failed write or a close on this side,
 * is reported to the pipeline as inactive too.
 */
final class UpstreamSocketChannel extends NioSocketChannel {

	private static final int END_OF_STREAM = -1;

	private boolean endedByPeer;

	private long receivedBytes;

	@Override
	protected int doReadBytes(ByteBuf buffer) throws Exception {
		int count = super.doReadBytes(buffer);
		if (count == END_OF_STREAM) {
			this.endedByPeer = true;
		}
		this.receivedBytes += Math.max(0, count);
		return count;
	}

	/**
	 * Returns how much was read so far.
	 * @return the number of bytes, with those that the HTTP decoder drops
	 */
	long receivedBytes() {
		return this.receivedBytes;
	}

	/**
	 * Returns whether the peer has sent all that it had to send and then closed its side.
	 * @return whether the end of the connection was read
	 */
	boolean endedByPeer() {
		return this.endedByPeer;
	}

}
