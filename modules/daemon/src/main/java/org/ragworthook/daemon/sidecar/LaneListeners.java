package org.ragworthook.daemon.sidecar;

import java.util.Objects;

import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Lane;

/**
 * Gives the control lane a listener of its own.
 */
final class LaneListeners implements LinkListener {

	private final LinkListener requests;

	private final LinkListener control;

	LaneListeners(LinkListener requests, LinkListener control) {
		this.requests = Objects.requireNonNull(requests, "requests is null");
		this.control = Objects.requireNonNull(control, "control is null");
	}

	private LinkListener of(Link link) {
		return (link.lane() == Lane.LANE_CONTROL) ? this.control : this.requests;
	}

	@Override
	public void opened(Link link) {
		of(link).opened(link);
	}

	@Override
	public void received(Link link, Frame frame) {
		of(link).received(link, frame);
	}

	@Override
	public void writable(Link link) {
		of(link).writable(link);
	}

	@Override
	public void closed(Link link) {
		of(link).closed(link);
	}

}
