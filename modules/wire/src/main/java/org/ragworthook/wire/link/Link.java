package org.ragworthook.wire.link;

import java.util.Objects;
import java.util.concurrent.Executor;

import io.netty.channel.Channel;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Lane;

/**
 * An open link to another process. Frames are delivered in the order in which they were
 * sent; a frame is lost only if the link is closed.
 */
public final class Link implements AutoCloseable {

	private final Channel channel;

	private final Lane lane;

	private final Remote remote;

	Link(Channel channel, Lane lane, Remote remote) {
		this.channel = Objects.requireNonNull(channel, "channel is null");
		this.lane = Objects.requireNonNull(lane, "lane is null");
		this.remote = Objects.requireNonNull(remote, "remote is null");
	}

	/**
	 * Returns the lane of this link, which determines the frames that the link carries.
	 * @return the lane
	 */
	public Lane lane() {
		return this.lane;
	}

	/**
	 * Returns the process at the other end.
	 * @return the process, as described by its handshake
	 */
	public Remote remote() {
		return this.remote;
	}

	/**
	 * Sends a frame without confirmation of delivery. A response, if there is one, is a
	 * separate frame.
	 * @param frame the frame to send
	 * @return whether the link was open
	 */
	public boolean send(Frame frame) {
		if (!this.channel.isActive()) {
			return false;
		}
		this.channel.writeAndFlush(frame, this.channel.voidPromise());
		return true;
	}

	/**
	 * Returns whether the outbound buffer has room for more frames.
	 * @return false while the buffer is above the channel's high-water mark
	 */
	public boolean writable() {
		return this.channel.isWritable();
	}

	/**
	 * Returns whether the link is open.
	 * @return whether frames can be sent
	 */
	public boolean open() {
		return this.channel.isActive();
	}

	/**
	 * Returns the executor on whose thread the listener is called for this link.
	 * @return the link's event loop
	 */
	public Executor executor() {
		return this.channel.eventLoop();
	}

	@Override
	public void close() {
		this.channel.close();
	}

	@Override
	public String toString() {
		return this.lane + "->" + this.remote.instance();
	}

}
