package org.ragworthook.gateway.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.upstream.PrefixAffinity;

/**
 * Asks the dispatcher of a service for slots, on behalf of the requests of an entry. Used
 * on the event loop.
 * <p>
 * The dispatcher may be frozen, slow or gone, and datagrams are lost. A request is then
 * held up while slots are free; its caller notices a late first event. So a request that
 * has no answer within a tenth of a usual goal goes back to the entry's own choice, and
 * for a while the next process in the order is asked: when a dispatcher is gone, all ask
 * the same other one within that time, not only when its silence shows in the reports.
 */
public final class DispatchClient {

	private static final EventLog LOG = EventLog.of(DispatchClient.class);

	/**
	 * How long the dispatcher may be silent: several times the way there and back between
	 * failure domains, and a tenth of a caller's usual goal of 300 ms.
	 */
	static final Duration ANSWER = Duration.ofMillis(30);

	/**
	 * After how long a waiting request is asked for again, in case that its slot was
	 * given and the datagram lost.
	 */
	static final Duration ASK_AGAIN = Duration.ofMillis(100);

	/**
	 * How long a dispatcher that did not answer is not asked: three tries until a dead
	 * one is known to be silent by its missing reports.
	 */
	static final Duration DOUBTED = Duration.ofMillis(500);

	private final Ticker ticker;

	private final Timers timers;

	private final Channel channel;

	private final Map<Long, Pending> pending = new HashMap<>();

	private final Map<String, Long> doubtedUntilNanos = new HashMap<>();

	private long lastNumber;

	private DispatchClient(Ticker ticker, Timers timers, Channel channel) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.channel = Objects.requireNonNull(channel, "channel is null");
	}

	/**
	 * Returns a client that has asked nobody.
	 * @param ticker the time
	 * @param timers runs tasks later, on the event loop
	 * @param channel leads to dispatchers
	 * @return the client
	 */
	public static DispatchClient of(Ticker ticker, Timers timers, Channel channel) {
		return new DispatchClient(ticker, timers, channel);
	}

	/**
	 * Asks for a slot.
	 * @param asker learns of the answer
	 * @param service the service
	 * @param except keys of upstreams that are not to be chosen
	 * @param goalNanos the ticker's reading by which the request has to begin to run to
	 * be in time
	 * @return whether somebody was asked; if not, the entry is to choose for itself
	 */
	public boolean requestSlot(SlotRequester asker, String service, Set<Integer> except, long goalNanos) {
		Optional<String> dispatcher = this.channel.dispatcher(service, (name) -> !doubted(name));
		if (dispatcher.isEmpty()) {
			return false;
		}
		Pending asked = new Pending(++this.lastNumber, asker, service, dispatcher.get(), Set.copyOf(except), goalNanos);
		this.pending.put(asked.number, asked);
		asked.send();
		return true;
	}

	private boolean doubted(String dispatcher) {
		Long until = this.doubtedUntilNanos.get(dispatcher);
		return until != null && until - this.ticker.nanos() > 0;
	}

	/**
	 * Learns that a request no longer needs a slot. What is granted all the same is free
	 * again with this entry's next report.
	 * @param asker the request
	 */
	public void cancel(SlotRequester asker) {
		for (Pending asked : List.copyOf(this.pending.values())) {
			if (asked.asker == asker) {
				asked.end();
			}
		}
	}

	/**
	 * Learns that a request waits at the dispatcher.
	 * @param number the request's number
	 */
	void waits(long number) {
		Pending asked = this.pending.get(number);
		if (asked != null) {
			asked.waits();
		}
	}

	/**
	 * Learns that a request was given a slot.
	 * @param number the request's number
	 * @param upstreamKey the key of the upstream
	 * @param yields whether a batch item is to leave the slot
	 */
	void granted(long number, int upstreamKey, boolean yields) {
		Pending asked = this.pending.get(number);
		if (asked != null) {
			asked.end();
			asked.asker.granted(upstreamKey, yields);
		}
	}

	private void unanswered(Pending asked) {
		LOG.info("dispatcher_silent", "request", asked.asker.requestId(), "dispatcher", asked.dispatcher, "service",
				asked.service, "after_ms", ANSWER.toMillis(), "not_asked_ms", DOUBTED.toMillis());
		this.doubtedUntilNanos.put(asked.dispatcher, this.ticker.nanos() + DOUBTED.toNanos());
		List<Pending> there = this.pending.values()
			.stream()
			.filter((other) -> other.dispatcher.equals(asked.dispatcher))
			.toList();
		there.forEach(Pending::end);
		there.forEach((other) -> other.asker.dispatcherTimedOut());
	}

	/**
	 * A request that was asked for.
	 */
	private final class Pending {

		private final long number;

		private final SlotRequester asker;

		private final String service;

		private final String dispatcher;

		private final Set<Integer> except;

		private final long goalNanos;

		private Timers.Timer timer;

		Pending(long number, SlotRequester asker, String service, String dispatcher, Set<Integer> except,
				long goalNanos) {
			this.number = number;
			this.asker = asker;
			this.service = service;
			this.dispatcher = dispatcher;
			this.except = except;
			this.goalNanos = goalNanos;
		}

		void send() {
			DispatchClient client = DispatchClient.this;
			Duration left = Duration.ofNanos(this.goalNanos - client.ticker.nanos());
			client.channel.ask(this.dispatcher, new SlotQuery(this.number, this.asker.requestId(), this.service,
					this.except, this.asker.prefixAffinity(), left));
			after(ANSWER, () -> client.unanswered(this));
		}

		void waits() {
			after(ASK_AGAIN, this::send);
		}

		void end() {
			DispatchClient.this.pending.remove(this.number);
			this.timer.cancel();
		}

		private void after(Duration delay, Runnable task) {
			if (this.timer != null) {
				this.timer.cancel();
			}
			this.timer = DispatchClient.this.timers.schedule(delay, task);
		}

	}

	/**
	 * What a dispatcher is asked.
	 *
	 * @param number this entry's number of the request, the same when it asks again
	 * @param requestId the caller's id of the request, for the log
	 * @param service the service
	 * @param except keys of upstreams that are not to be chosen
	 * @param prompt where the parts of its prompt are kept
	 * @param toGoal how soon the request has to begin to run to be in time; negative if
	 * it is late
	 */
	public record SlotQuery(long number, String requestId, String service, Set<Integer> except, PrefixAffinity prompt,
			Duration toGoal) {
	}

	/**
	 * A request that needs a slot.
	 */
	public interface SlotRequester {

		/**
		 * Returns the caller's id of the request.
		 * @return the id, for the log
		 */
		String requestId();

		/**
		 * Returns where the parts of its prompt are kept.
		 * @return the homes
		 */
		PrefixAffinity prefixAffinity();

		/**
		 * The request has a slot.
		 * @param upstreamKey the key of the upstream
		 * @param yields whether a batch item is to leave it
		 */
		void granted(int upstreamKey, boolean yields);

		/**
		 * The dispatcher does not answer; the entry is to choose for itself.
		 */
		void dispatcherTimedOut();

	}

	/**
	 * Leads to the dispatchers.
	 */
	public interface Channel {

		/**
		 * Returns who gives out the slots of a service. All who hear the same processes
		 * and doubt none of them are told the same one. A process that is not heard here
		 * is cut off from this one; asked, it would only hold requests up.
		 * @param service the service
		 * @param usable which processes may be asked
		 * @return the name of a process, or empty if there is none
		 */
		Optional<String> dispatcher(String service, Predicate<String> usable);

		/**
		 * Sends a request for a slot.
		 * @param dispatcher the name of the process
		 * @param question the request
		 */
		void ask(String dispatcher, SlotQuery question);

	}

}
