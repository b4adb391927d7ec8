package org.ragworthook.wire.link;

import java.util.Objects;
import java.util.concurrent.Executor;

import io.netty.channel.Channel;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Lane;

/**
 * An open link to another process. Frames arrive in the order in which they were sent, or
 * the link is lost.
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
	 * Returns what this link carries.
	 * @return the lane
	 */
	public Lane lane() {
		return this.lane;
	}

	/**
	 * Returns the process at the other end.
	 * @return the process as it greeted
	 */
	public Remote remote() {
		return this.remote;
	}

	/**
	 * Sends a frame. Nothing is known of its arrival; an answer, if any, is another
	 * frame.
	 * @param frame the frame
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
	 * Tells whether a frame sent now would leave soon.
	 * @return false while too much waits to be sent
	 */
	public boolean writable() {
		return this.channel.isWritable();
	}

	/**
	 * Tells whether the link is open.
	 * @return whether frames can be sent
	 */
	public boolean open() {
		return this.channel.isActive();
	}

	/**
	 * Returns the thread on which the listener is called for this link.
	 * @return the link's thread
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
