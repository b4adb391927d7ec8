package org.ragworthook.daemon.control;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.ragworthook.core.contract.Slice;
import org.ragworthook.core.contract.SliceInForce;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.message.Call;
import org.ragworthook.wire.message.ContractSlice;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.InForce;
import org.ragworthook.wire.message.Reply;

/**
 * The control lanes of a sidecar: takes slices of the contract from its entries and tells
 * them by which version it acts.
 */
public final class SidecarControl implements LinkListener {

	/** Asks a sidecar to finish its work and take no more. */
	public static final String DRAIN = "drain";

	private static final EventLog LOG = EventLog.of(SidecarControl.class);

	private final SliceInForce slices = SliceInForce.empty();

	private final Map<Link, SliceInForce.Receiver> receivers = new ConcurrentHashMap<>();

	private final Runnable drain;

	private SidecarControl(Runnable drain) {
		this.drain = Objects.requireNonNull(drain, "drain is null");
	}

	/**
	 * Returns the control lanes of a sidecar.
	 * @param drain has the sidecar finish its work and take no more
	 * @return the listener of its control links
	 */
	public static SidecarControl of(Runnable drain) {
		return new SidecarControl(drain);
	}

	/**
	 * Returns what is in force here.
	 * @return the version and the service
	 */
	public SliceInForce inForce() {
		return this.slices;
	}

	@Override
	public void opened(Link link) {
		this.receivers.put(link, this.slices.receiver());
	}

	@Override
	public void received(Link link, Frame frame) {
		switch (frame.getBodyCase()) {
			case CONTRACT_SLICE -> slice(link, frame.getContractSlice());
			case CALL -> call(link, frame.getCall());
			default -> LOG.debug("control_ignored", "frame", frame.getBodyCase(), "from", link);
		}
	}

	private void slice(Link link, ContractSlice message) {
		SliceInForce.Receiver receiver = this.receivers.get(link);
		if (receiver == null) {
			return;
		}
		Optional<String> section = message.getUnchanged() ? Optional.empty() : Optional.of(message.getJson());
		try {
			boolean moved = receiver.take(new Slice(message.getVersion(), message.getService(), section));
			Frame report = Frame.newBuilder()
				.setInForce(InForce.newBuilder().setVersion(this.slices.version()))
				.build();
			if (moved) {
				this.receivers.keySet().forEach((each) -> each.send(report));
			}
			else {
				link.send(report);
			}
		}
		catch (ConfigException ex) {
			LOG.warning("slice_unreadable", "version", message.getVersion(), "from", link, "error", ex.getMessage());
		}
	}

	private void call(Link link, Call call) {
		Reply.Builder reply = Reply.newBuilder().setNumber(call.getNumber());
		if (DRAIN.equals(call.getVerb())) {
			LOG.info("drain_asked", "by", link.remote().instance());
			this.drain.run();
		}
		else {
			reply.setError(ErrorCode.LINK_FAILED.number()).setDetail("verb '" + call.getVerb() + "' is not known here");
		}
		link.send(Frame.newBuilder().setReply(reply).build());
	}

	@Override
	public void closed(Link link) {
		this.receivers.remove(link);
	}

}
