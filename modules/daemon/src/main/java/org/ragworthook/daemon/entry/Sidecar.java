package org.ragworthook.daemon.entry;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import io.netty.channel.EventLoopGroup;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.routing.Upstream;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkClient;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.link.LinkOptions;
import org.ragworthook.wire.link.Remote;
import org.ragworthook.wire.message.Cancel;
import org.ragworthook.wire.message.Done;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Load;
import org.ragworthook.wire.message.Run;

/**
 * A sidecar from the view of an entry: the links to the sidecar, the load that it last
 * reported, and the attempts of this entry that run there.
 */
public final class Sidecar implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(Sidecar.class);

	private static final List<Lane> LANES = List.of(Lane.LANE_ONLINE, Lane.LANE_BATCH, Lane.LANE_CONTROL);

	private final Instance instance;

	private final Map<Lane, LaneState> lanes;

	private final LinkListener control;

	private final Observer observer;

	private final Upstream upstream;

	private final Closer closer = Closer.empty();

	private volatile Load load = Load.getDefaultInstance();

	private volatile boolean draining;

	private volatile Remote remote;

	private Sidecar(Instance instance, LinkListener control, Observer observer) {
		this.instance = Objects.requireNonNull(instance, "instance is null");
		this.control = Objects.requireNonNull(control, "control is null");
		this.observer = Objects.requireNonNull(observer, "observer is null");
		this.upstream = Upstream.of(instance);
		this.lanes = Map.of(Lane.LANE_ONLINE, new LaneState(), Lane.LANE_BATCH, new LaneState(), Lane.LANE_CONTROL,
				new LaneState());
	}

	/**
	 * Connects to a sidecar.
	 * @param instance the sidecar as the platform lists it
	 * @param loops the event loops of the links
	 * @param options the options of the links
	 * @param hello returns the first message to send on the link of a lane
	 * @param control receives the frames and state changes of the control lane
	 * @param observer called when the sidecar becomes available for online requests or
	 * unavailable
	 * @return the sidecar, with its links still connecting
	 */
	static Sidecar connect(Instance instance, EventLoopGroup loops, LinkOptions options, Function<Lane, Hello> hello,
			LinkListener control, Observer observer) {
		Sidecar sidecar = new Sidecar(instance, control, observer);
		for (Lane lane : LANES) {
			sidecar.closer.add(LinkClient.connect(loops, instance.link(), options, () -> hello.apply(lane),
					sidecar.new LaneListener(sidecar.lanes.get(lane))));
		}
		return sidecar;
	}

	/**
	 * Returns the sidecar as the platform lists it.
	 * @return the instance
	 */
	public Instance instance() {
		return this.instance;
	}

	/**
	 * Returns the sidecar process as it described itself when a link was last opened.
	 * @return the process at the other end of the links, or empty before the first link
	 * was open
	 */
	public Optional<Remote> remote() {
		return Optional.ofNullable(this.remote);
	}

	/**
	 * Returns the service that the sidecar's upstream serves.
	 * @return the name of the service
	 */
	public String service() {
		Remote peer = this.remote;
		return (peer != null) ? peer.service() : this.instance.service();
	}

	/**
	 * Returns whether the sidecar accepts new requests.
	 * @param lane the online or the batch lane
	 * @return whether the lane's link is open and the sidecar is not draining
	 */
	public boolean accepts(Lane lane) {
		Link link = this.lanes.get(lane).link;
		return !this.draining && link != null && link.open();
	}

	/**
	 * Returns the load that the sidecar last reported, which lags behind the actual load.
	 * @return the load
	 */
	public Load load() {
		return this.load;
	}

	/**
	 * Returns the upstream behind this sidecar, as used by routers.
	 * @return the upstream
	 */
	public Upstream upstream() {
		return this.upstream;
	}

	/**
	 * Returns whether the sidecar has announced that it is draining.
	 * @return whether the current run of the sidecar is draining
	 */
	public boolean draining() {
		return this.draining;
	}

	/**
	 * Sends an attempt at a request.
	 * @param lane the online or the batch lane
	 * @param run the request
	 * @param listener receives the output and the end of the attempt
	 * @return whether the request was handed to a link; if not, the listener is not
	 * called
	 */
	public boolean start(Lane lane, Run run, AttemptListener listener) {
		LaneState state = this.lanes.get(lane);
		Link link = state.link;
		if (link == null || this.draining) {
			return false;
		}
		String key = key(run.getRequest(), run.getAttempt());
		state.listeners.put(key, listener);
		if (link.send(Frame.newBuilder().setRun(run).build())) {
			if (!link.open()) {
				reportLost(state, key);
			}
			return true;
		}
		return state.listeners.remove(key) == null;
	}

	/**
	 * Reports an attempt as lost, once. If a link is closed while a request is being
	 * sent, {@link LaneListener#closed} may run before the attempt is registered; so both
	 * this sending and the closing report the loss, and removal from the map lets only
	 * one of them call the listener.
	 * @param state the state of the lane
	 * @param key the key of the attempt
	 */
	private void reportLost(LaneState state, String key) {
		AttemptListener listener = state.listeners.remove(key);
		if (listener != null) {
			listener.lost();
		}
	}

	/**
	 * Cancels a request. Its listener is still called with the outcome.
	 * @param lane the lane on which the request was sent
	 * @param request the id of the request
	 */
	public void cancel(Lane lane, String request) {
		send(lane, Frame.newBuilder().setCancel(Cancel.newBuilder().setRequest(request)).build());
	}

	/**
	 * Sends a frame that is not a request.
	 * @param lane the lane to send the frame on
	 * @param frame the frame
	 * @return whether the frame was handed to the lane's link
	 */
	public boolean send(Lane lane, Frame frame) {
		Link link = this.lanes.get(lane).link;
		return link != null && link.send(frame);
	}

	private static String key(String request, int attempt) {
		return request + "/" + attempt;
	}

	@Override
	public void close() {
		this.closer.close();
	}

	@Override
	public String toString() {
		return this.instance.id();
	}

	/**
	 * Called when a sidecar becomes available for online requests or unavailable, on the
	 * link's thread.
	 */
	interface Observer {

		/**
		 * Called when the link of the online lane has been opened.
		 * @param sidecar the sidecar
		 * @param remote the process at the other end
		 */
		void linkOpened(Sidecar sidecar, Remote remote);

		/**
		 * Called when the sidecar has announced that it is draining.
		 * @param sidecar the sidecar
		 * @param remote the process at the other end
		 */
		void drainAnnounced(Sidecar sidecar, Remote remote);

		/**
		 * Called when the link of the online lane has been lost.
		 * @param sidecar the sidecar
		 */
		void linkLost(Sidecar sidecar);

	}

	/**
	 * The link of one lane and the attempts that run on it.
	 */
	private static final class LaneState {

		private final Map<String, AttemptListener> listeners = new ConcurrentHashMap<>();

		private volatile Link link;

	}

	/**
	 * Handles the frames and state changes of the link of one lane.
	 */
	private final class LaneListener implements LinkListener {

		private final LaneState state;

		private LaneListener(LaneState state) {
			this.state = state;
		}

		@Override
		public void opened(Link link) {
			Sidecar.this.remote = link.remote();
			updateLoad(link.remote().load());
			Sidecar.this.draining = link.remote().leaving();
			this.state.link = link;
			if (link.lane() == Lane.LANE_CONTROL) {
				Sidecar.this.control.opened(link);
			}
			else if (link.lane() == Lane.LANE_ONLINE) {
				Sidecar.this.observer.linkOpened(Sidecar.this, link.remote());
			}
		}

		@Override
		public void received(Link link, Frame frame) {
			switch (frame.getBodyCase()) {
				case OUTPUT -> handleOutput(frame);
				case DONE -> handleDone(frame.getDone());
				case LOAD -> updateLoad(frame.getLoad());
				case LEAVING -> handleLeaving(link);
				default -> Sidecar.this.control.received(link, frame);
			}
		}

		private void handleOutput(Frame frame) {
			AttemptListener listener = this.state.listeners
				.get(key(frame.getOutput().getRequest(), frame.getOutput().getAttempt()));
			if (listener != null) {
				listener.output(frame.getOutput());
			}
		}

		private void updateLoad(Load reported) {
			Sidecar.this.load = reported;
			Sidecar.this.upstream.loadReported(reported.getOnlineRunning() + reported.getOnlineQueued(),
					reported.getLimit());
		}

		private void handleDone(Done done) {
			updateLoad(done.getLoad());
			AttemptListener listener = this.state.listeners.remove(key(done.getRequest(), done.getAttempt()));
			if (listener != null) {
				listener.done(done);
			}
		}

		/**
		 * Called when the sidecar announces that it is draining. The announcement arrives
		 * earlier than the same information in the platform's list.
		 * @param link the link that the announcement was received on
		 */
		private void handleLeaving(Link link) {
			Sidecar.this.draining = true;
			Sidecar.this.observer.drainAnnounced(Sidecar.this, link.remote());
			LOG.info("sidecar_leaving", "instance", link.remote().instance());
		}

		@Override
		public void closed(Link link) {
			this.state.link = null;
			if (link.lane() == Lane.LANE_ONLINE) {
				Sidecar.this.observer.linkLost(Sidecar.this);
			}
			List.copyOf(this.state.listeners.keySet()).forEach((key) -> Sidecar.this.reportLost(this.state, key));
			if (link.lane() == Lane.LANE_CONTROL) {
				Sidecar.this.control.closed(link);
			}
		}

	}

}
