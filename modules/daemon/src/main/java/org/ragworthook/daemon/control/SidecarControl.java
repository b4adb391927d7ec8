package org.ragworthook.daemon.control;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import com.google.protobuf.ByteString;
import org.ragworthook.core.contract.ActiveSlice;
import org.ragworthook.core.contract.Slice;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;
import org.ragworthook.daemon.peer.LinkCalls;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.message.ContractSlice;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.InForce;
import org.ragworthook.wire.message.OrderOutcome;

/**
 * The control lanes of a sidecar: takes slices of the contract from its entries and tells
 * them by which version it acts.
 */
public final class SidecarControl implements LinkListener {

	/** Asks a sidecar to finish its work and take no more. */
	public static final String DRAIN = "drain";

	/** Asks a sidecar what its upstream holds. */
	public static final String MODELS = "models";

	/** First part of the names of the reconcilers' leases. */
	public static final String RECONCILER = "reconciler";

	private static final EventLog LOG = EventLog.of(SidecarControl.class);

	private final ActiveSlice slices = ActiveSlice.empty();

	private final Map<Link, ActiveSlice.Receiver> receivers = new ConcurrentHashMap<>();

	private final LinkCalls calls;

	private final SidecarOrders orders;

	private SidecarControl(Runnable drain, SidecarOrders orders, Timers timers) {
		Objects.requireNonNull(drain, "drain is null");
		this.orders = Objects.requireNonNull(orders, "orders is null");
		this.calls = new LinkCalls(timers);
		this.calls.handle(DRAIN, (instance, body) -> {
			LOG.info("drain_asked", "by", instance);
			drain.run();
			return CompletableFuture.completedFuture(ByteString.EMPTY);
		});
		this.calls.handle(MODELS, (instance, body) -> orders.models()
			.thenApply(
					(models) -> OrderOutcome.newBuilder().setDone(true).addAllModels(models).build().toByteString()));
	}

	/**
	 * Returns the control lanes of a sidecar.
	 * @param drain has the sidecar finish its work and take no more
	 * @param orders carries out orders
	 * @param timers ends calls that are not answered
	 * @return the listener of its control links
	 */
	public static SidecarControl of(Runnable drain, SidecarOrders orders, Timers timers) {
		return new SidecarControl(drain, orders, timers);
	}

	/**
	 * Returns what is in force here.
	 * @return the version and the service
	 */
	public ActiveSlice inForce() {
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
			case CALL -> this.calls.called(link, frame.getCall());
			case ORDER -> this.orders.order(link, frame.getOrder());
			default -> LOG.debug("control_ignored", "frame", frame.getBodyCase(), "from", link);
		}
	}

	private void slice(Link link, ContractSlice message) {
		ActiveSlice.Receiver receiver = this.receivers.get(link);
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

	@Override
	public void closed(Link link) {
		this.receivers.remove(link);
	}

}
