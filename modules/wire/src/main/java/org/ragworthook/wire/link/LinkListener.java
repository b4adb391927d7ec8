package org.ragworthook.wire.link;

import org.ragworthook.wire.message.Frame;

/**
 * Takes what happens on links. Calls for one link come one at a time, on the link's own
 * thread, which they must not block.
 */
public interface LinkListener {

	/**
	 * A link is open: both sides have greeted.
	 * @param link the link
	 */
	void opened(Link link);

	/**
	 * A frame has come.
	 * @param link the link
	 * @param frame the frame; greetings, pings and pongs are not passed on
	 */
	void received(Link link, Frame frame);

	/**
	 * An open link is closed or lost. Called once for each link that was opened.
	 * @param link the link
	 */
	void closed(Link link);

}
