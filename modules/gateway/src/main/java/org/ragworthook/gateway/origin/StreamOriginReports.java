package org.ragworthook.gateway.origin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.ReportSection;
import org.ragworthook.gateway.upstream.RendezvousHash;
import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.wire.load.LoadReport;
import org.ragworthook.wire.load.StreamOriginEntry;

/**
 * The section of load reports about the origins of streams.
 * <p>
 * A caller whose connection broke resumes its stream at any entry, also after the entry
 * that began the stream is gone. The process that begins a stream therefore sends its
 * origin to a few peers, chosen by rendezvous hashing of the request id, and an entry
 * that does not know an origin asks the peers that come first for this id. Only what is
 * certain is recorded: if all records of a stream are lost, it is not continued. Used on
 * the event loop.
 */
public final class StreamOriginReports implements ReportSection {

	private static final EventLog LOG = EventLog.of(StreamOriginReports.class);

	/** Peers that keep the origin of a stream beside the process that began it. */
	private static final int HOLDERS = 3;

	/**
	 * Peers that are asked for an origin. More than the holders, since peers that have
	 * started or stopped meanwhile change the order.
	 */
	private static final int ASKED = 8;

	/** After this time the peers that have not answered are asked again. */
	static final Duration ASK_INTERVAL = Duration.ofMillis(40);

	/** Number of times that peers are asked, since reports may be lost. */
	private static final int ASK_ATTEMPTS = 3;

	/** Longer ids are not recorded, so that reports fit into datagrams. */
	private static final int MAX_ID_LENGTH = 128;

	private final StreamOrigins origins;

	private final Timers timers;

	private final Transport transport;

	private final Map<String, Lookup> lookups = new HashMap<>();

	StreamOriginReports(Ticker ticker, Timers timers, Transport transport) {
		this.origins = new StreamOrigins(ticker);
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.transport = Objects.requireNonNull(transport, "transport is null");
	}

	/**
	 * Adds this section to the reports of a process.
	 * @param exchange the exchange that sends and receives the reports
	 * @param ticker the monotonic clock
	 * @param timers schedules tasks on the event loop
	 * @return the section
	 */
	public static StreamOriginReports attach(LoadExchange exchange, Ticker ticker, Timers timers) {
		StreamOriginReports reports = new StreamOriginReports(ticker, timers, new ExchangeTransport(exchange));
		exchange.add(reports);
		return reports;
	}

	/**
	 * Called when an upstream has begun a stream for a request of this process, before
	 * the caller receives a part of it: the peers then know its origin even if this
	 * process ends right after that part.
	 * @param requestId the request's id
	 * @param origin the origin of the stream
	 */
	public void began(String requestId, StreamOrigin origin) {
		if (requestId.length() > MAX_ID_LENGTH) {
			return;
		}
		this.origins.record(requestId, origin);
		this.transport.send(preferredPeers(requestId, HOLDERS),
				LoadReport.newBuilder().addStreamOrigins(entry(requestId, origin)));
	}

	/**
	 * Finds the origin of a stream, asking peers if this process does not know it.
	 * @param requestId the id of the request that brought the first event
	 * @param receiver called once with the origin, or empty if none of the peers that
	 * answer in time knows it; called at once if this process knows
	 */
	public void find(String requestId, Consumer<Optional<StreamOrigin>> receiver) {
		Optional<StreamOrigin> known = this.origins.find(requestId);
		List<String> peers = (known.isEmpty() && requestId.length() <= MAX_ID_LENGTH) ? preferredPeers(requestId, ASKED)
				: List.of();
		if (peers.isEmpty()) {
			receiver.accept(known);
			return;
		}
		Lookup lookup = this.lookups.computeIfAbsent(requestId, Lookup::new);
		lookup.receivers.add(receiver);
		if (lookup.receivers.size() == 1) {
			lookup.unanswered.addAll(peers);
			lookup.ask(ASK_ATTEMPTS);
		}
	}

	private List<String> preferredPeers(String requestId, int count) {
		int key = requestId.hashCode();
		return this.transport.livePeers()
			.stream()
			.sorted(Comparator.comparingLong((String peer) -> RendezvousHash.score(peer, key)).reversed())
			.limit(count)
			.toList();
	}

	private static StreamOriginEntry entry(String requestId, StreamOrigin origin) {
		return StreamOriginEntry.newBuilder()
			.setRequest(requestId)
			.setKnown(true)
			.setService(origin.service())
			.setVersion(origin.version().label().orElse(""))
			.build();
	}

	@Override
	public void write(LoadReport.Builder report) {
		// Origins and questions go to single peers.
	}

	@Override
	public void read(LoadReport report) {
		report.getStreamOriginsList().forEach((entry) -> received(report.getInstance(), entry));
		if (report.getOriginQueriesCount() > 0) {
			LoadReport.Builder answer = LoadReport.newBuilder();
			report.getOriginQueriesList()
				.forEach((requestId) -> answer.addStreamOrigins(this.origins.find(requestId)
					.map((origin) -> entry(requestId, origin))
					.orElseGet(() -> StreamOriginEntry.newBuilder().setRequest(requestId).build())));
			this.transport.send(List.of(report.getInstance()), answer);
		}
	}

	private void received(String peer, StreamOriginEntry entry) {
		Optional<Lookup> lookup = Optional.ofNullable(this.lookups.get(entry.getRequest()));
		if (entry.getKnown()) {
			this.origins.record(entry.getRequest(),
					new StreamOrigin(entry.getService(), SoftwareVersion.of(entry.getVersion())));
			lookup.ifPresent(Lookup::end);
		}
		else {
			lookup.ifPresent((open) -> open.unknownTo(peer));
		}
	}

	/**
	 * A question to peers that is not answered yet.
	 */
	private final class Lookup {

		private final String requestId;

		private final List<Consumer<Optional<StreamOrigin>>> receivers = new ArrayList<>();

		private final Set<String> unanswered = new HashSet<>();

		private Optional<Timers.Timer> timer = Optional.empty();

		Lookup(String requestId) {
			this.requestId = requestId;
		}

		void ask(int attempts) {
			if (attempts == 0) {
				end();
				return;
			}
			StreamOriginReports reports = StreamOriginReports.this;
			this.timer = Optional.of(reports.timers.schedule(ASK_INTERVAL, () -> ask(attempts - 1)));
			reports.transport.send(List.copyOf(this.unanswered),
					LoadReport.newBuilder().addOriginQueries(this.requestId));
		}

		void unknownTo(String peer) {
			if (this.unanswered.remove(peer) && this.unanswered.isEmpty()) {
				end();
			}
		}

		void end() {
			StreamOriginReports reports = StreamOriginReports.this;
			reports.lookups.remove(this.requestId);
			this.timer.ifPresent(Timers.Timer::cancel);
			Optional<StreamOrigin> found = reports.origins.find(this.requestId);
			LOG.info("origin_looked_up", "began_as", this.requestId, "origin",
					found.map(String::valueOf).orElse("unknown"), "unanswered", this.unanswered.size());
			this.receivers.forEach((receiver) -> receiver.accept(found));
		}

	}

	/** Sends reports to peers. */
	interface Transport {

		/**
		 * Returns the peers that can be reached.
		 * @return their names
		 */
		List<String> livePeers();

		/**
		 * Sends a report to peers.
		 * @param peers the names of the peers
		 * @param report the content for these peers
		 */
		void send(Collection<String> peers, LoadReport.Builder report);

	}

	private record ExchangeTransport(LoadExchange exchange) implements Transport {

		@Override
		public List<String> livePeers() {
			return this.exchange.fleet().livePeers();
		}

		@Override
		public void send(Collection<String> peers, LoadReport.Builder report) {
			this.exchange.sendTo(peers, report);
		}

	}

}
