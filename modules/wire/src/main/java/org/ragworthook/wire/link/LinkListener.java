package org.ragworthook.wire.link;

import org.ragworthook.wire.message.Frame;

/**
 * Receives the events of links. Calls for one link are sequential and run on the link's
 * event loop, which they must not block.
 */
public interface LinkListener {

	/**
	 * Called when a link has been opened, that is, after its handshake.
	 * @param link the opened link
	 */
	void opened(Link link);

	/**
	 * Called when a frame has been received, other than handshakes, pings and pongs.
	 * @param link the link that received the frame
	 * @param frame the frame
	 */
	void received(Link link, Frame frame);

	/**
	 * Called when an opened link has room for more frames again, see
	 * {@link Link#writable()}. Does nothing by default.
	 * @param link the link
	 */
	default void writable(Link link) {
	}

	/**
	 * Called once for each opened link, when the link has been closed or lost.
	 * @param link the closed link
	 */
	void closed(Link link);

}
