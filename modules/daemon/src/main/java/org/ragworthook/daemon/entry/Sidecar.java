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
 * A sidecar as an entry sees it: its links, how busy it says it is, and what this entry
 * has running there.
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

	private volatile boolean leaving;

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
	 * @param loops the threads of the links
	 * @param options how links behave
	 * @param hello makes the greeting for each lane
	 * @param control takes what comes on the control lane
	 * @param observer learns when the sidecar can take online requests and when not
	 * @return the sidecar, connecting
	 */
	static Sidecar connect(Instance instance, EventLoopGroup loops, LinkOptions options, Function<Lane, Hello> hello,
			LinkListener control, Observer observer) {
		Sidecar sidecar = new Sidecar(instance, control, observer);
		for (Lane lane : LANES) {
			sidecar.closer.add(LinkClient.connect(loops, instance.link(), options, () -> hello.apply(lane),
					sidecar.new Listening(sidecar.lanes.get(lane))));
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
	 * Returns the sidecar as it greeted.
	 * @return the process at the other end, or empty before the first link was open
	 */
	public Optional<Remote> remote() {
		return Optional.ofNullable(this.remote);
	}

	/**
	 * Returns the service that its upstream serves.
	 * @return the service's name
	 */
	public String service() {
		Remote greeted = this.remote;
		return (greeted != null) ? greeted.service() : this.instance.service();
	}

	/**
	 * Tells whether new requests can be sent.
	 * @param lane online or batch
	 * @return whether the lane's link is open and the sidecar does not leave
	 */
	public boolean accepts(Lane lane) {
		Link link = this.lanes.get(lane).link;
		return !this.leaving && link != null && link.open();
	}

	/**
	 * Returns how busy the sidecar last said it is. The report lags.
	 * @return the load
	 */
	public Load load() {
		return this.load;
	}

	/**
	 * Returns the upstream as a router chooses it.
	 * @return the upstream behind this sidecar
	 */
	public Upstream upstream() {
		return this.upstream;
	}

	/**
	 * Tells whether the sidecar has said that it leaves.
	 * @return whether its present run leaves
	 */
	public boolean leaving() {
		return this.leaving;
	}

	/**
	 * Sends a request.
	 * @param lane online or batch
	 * @param run the request
	 * @param exchange takes the answer
	 * @return whether it was handed to a link; if not, the exchange gets no call
	 */
	public boolean start(Lane lane, Run run, AttemptListener exchange) {
		LaneState state = this.lanes.get(lane);
		Link link = state.link;
		if (link == null || this.leaving) {
			return false;
		}
		String key = key(run.getRequest(), run.getAttempt());
		state.exchanges.put(key, exchange);
		if (link.send(Frame.newBuilder().setRun(run).build())) {
			if (!link.open()) {
				lost(state, key);
			}
			return true;
		}
		return state.exchanges.remove(key) == null;
	}

	/**
	 * Ends an exchange whose link was closed between the look at it and the sending. The
	 * link's own end may have missed the exchange; the map decides which of the two
	 * reports the loss.
	 * @param state the lane's state
	 * @param key the request and its attempt
	 */
	private void lost(LaneState state, String key) {
		AttemptListener exchange = state.exchanges.remove(key);
		if (exchange != null) {
			exchange.lost();
		}
	}

	/**
	 * Cancels a request. Its outcome is still told to its exchange.
	 * @param lane on which it was sent
	 * @param request the request
	 */
	public void cancel(Lane lane, String request) {
		send(lane, Frame.newBuilder().setCancel(Cancel.newBuilder().setRequest(request)).build());
	}

	/**
	 * Sends a frame that is no request.
	 * @param lane on which to send it
	 * @param frame the frame
	 * @return whether the lane's link was open
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
	 * Learns when a sidecar can take online requests and when not, on the link's thread.
	 */
	interface Observer {

		/**
		 * The online lane is open.
		 * @param sidecar the sidecar
		 * @param remote the process at the other end
		 */
		void linked(Sidecar sidecar, Remote remote);

		/**
		 * The sidecar says that it leaves.
		 * @param sidecar the sidecar
		 * @param remote the process at the other end
		 */
		void leaving(Sidecar sidecar, Remote remote);

		/**
		 * The online lane is lost.
		 * @param sidecar the sidecar
		 */
		void lost(Sidecar sidecar);

	}

	/**
	 * The link of one lane and what runs on it.
	 */
	private static final class LaneState {

		private final Map<String, AttemptListener> exchanges = new ConcurrentHashMap<>();

		private volatile Link link;

	}

	/**
	 * Takes what happens on the link of one lane.
	 */
	private final class Listening implements LinkListener {

		private final LaneState state;

		private Listening(LaneState state) {
			this.state = state;
		}

		@Override
		public void opened(Link link) {
			Sidecar.this.remote = link.remote();
			load(link.remote().load());
			Sidecar.this.leaving = link.remote().leaving();
			this.state.link = link;
			if (link.lane() == Lane.LANE_CONTROL) {
				Sidecar.this.control.opened(link);
			}
			else if (link.lane() == Lane.LANE_ONLINE) {
				Sidecar.this.observer.linked(Sidecar.this, link.remote());
			}
		}

		@Override
		public void received(Link link, Frame frame) {
			switch (frame.getBodyCase()) {
				case OUTPUT -> output(frame);
				case DONE -> done(frame.getDone());
				case LOAD -> load(frame.getLoad());
				case LEAVING -> leaving(link);
				default -> Sidecar.this.control.received(link, frame);
			}
		}

		private void output(Frame frame) {
			AttemptListener exchange = this.state.exchanges
				.get(key(frame.getOutput().getRequest(), frame.getOutput().getAttempt()));
			if (exchange != null) {
				exchange.output(frame.getOutput());
			}
		}

		private void load(Load reported) {
			Sidecar.this.load = reported;
			Sidecar.this.upstream.loadReported(reported.getOnlineRunning() + reported.getOnlineQueued(),
					reported.getLimit());
		}

		private void done(Done done) {
			load(done.getLoad());
			AttemptListener exchange = this.state.exchanges.remove(key(done.getRequest(), done.getAttempt()));
			if (exchange != null) {
				exchange.done(done);
			}
		}

		/**
		 * The platform's list says late that an instance leaves; its own word comes at
		 * once.
		 * @param link the link on which it came
		 */
		private void leaving(Link link) {
			Sidecar.this.leaving = true;
			Sidecar.this.observer.leaving(Sidecar.this, link.remote());
			LOG.info("sidecar_leaving", "instance", link.remote().instance());
		}

		@Override
		public void closed(Link link) {
			this.state.link = null;
			if (link.lane() == Lane.LANE_ONLINE) {
				Sidecar.this.observer.lost(Sidecar.this);
			}
			List.copyOf(this.state.exchanges.keySet()).forEach((key) -> Sidecar.this.lost(this.state, key));
			if (link.lane() == Lane.LANE_CONTROL) {
				Sidecar.this.control.closed(link);
			}
		}

	}

}
