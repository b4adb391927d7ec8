package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.account.QuotaReservation;
import org.ragworthook.gateway.attempt.Attempt;
import org.ragworthook.gateway.attempt.AttemptListener;
import org.ragworthook.gateway.dispatch.DispatchClient;
import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.suspect.PoisonRequestDetector;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.PrefixAffinity;
import org.ragworthook.gateway.upstream.SlotSharing;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.WorkClass;

/**
 * An online request from its placing to its end. Runs on the event loop.
 */
final class OnlineExchange {

	private static final EventLog LOG = EventLog.of(OnlineExchange.class);

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * An upstream that is not the one meant; it does not count as one that got the
	 * request.
	 */
	private static final int MISDIRECTED = 421;

	private static final int BAD_GATEWAY = 502;

	private static final int UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	/** When the sender of a request that crashes upstreams may come again. */
	private static final Duration CONVICTED = Duration.ofSeconds(60);

	/** For callers that are refused where no better estimate is at hand. */
	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(200);

	private final OnlineContext context;

	private final OnlineRequest request;

	private final CallerResponse response;

	private final OnlineQueues queues;

	private final QuotaReservation quota;

	private final String service;

	private final RequestClock clock;

	private final long fingerprint;

	private final TriedUpstreams tried = new TriedUpstreams();

	private final Slot slot = new Slot();

	private int sends;

	private boolean mayHaveRun;

	private boolean answering;

	private boolean over;

	private long lastEvent;

	/** The attempt in progress, or {@code null} while there is none. */
	private Attempt attempt;

	/** Where the last attempt was, for the log. */
	private TrackedUpstream last;

	private Timers.Timer timeout;

	private Timers.Timer patience;

	private boolean queued;

	private boolean stalled;

	OnlineExchange(OnlineContext context, OnlineRequest request, CallerResponse response, OnlineQueues queues,
			QuotaReservation quota) {
		this.context = context;
		this.request = request;
		this.response = response;
		this.queues = queues;
		this.quota = quota;
		this.service = request.route().pickService(context.random().nextDouble());
		this.clock = new RequestClock(context.ticker());
		this.lastEvent = request.lastEvent().orElse(0L);
		this.fingerprint = PoisonRequestDetector.fingerprint(request.route().host(), request.uri(), request.body());
	}

	/**
	 * Begins: places the request or lets it wait for a slot.
	 */
	void start() {
		Duration left = this.request.deadline().remaining().orElse(this.request.route().timeout());
		this.timeout = this.context.timers().schedule(left, this::timedOut);
		place();
	}

	private void place() {
		if (this.context.suspects().refused(this.fingerprint)) {
			LOG.info("convicted_refused", "request", this.request.id(), "fingerprint",
					Long.toHexString(this.fingerprint), "sends", this.sends);
			refuse(CONVICTED);
			return;
		}
		if (!this.queues.askForSlot(this.service, this)) {
			placeHere();
		}
	}

	private void placeHere() {
		if (!tryPlace()) {
			this.queues.enter(this.service, this);
		}
	}

	/**
	 * Sends the request to an upstream if one has room.
	 * @return whether one had
	 */
	boolean tryPlace() {
		if (this.over) {
			return true;
		}
		Optional<TrackedUpstream> choice = choice(this.queues.room());
		choice.ifPresent((upstream) -> send(upstream, Chooser.ENTRY, !SlotSharing.hasFreeSlot(upstream),
				SlotSharing.needsPreemption(upstream)));
		return choice.isPresent();
	}

	private Optional<TrackedUpstream> choice(Placement.CapacityCheck room) {
		List<TrackedUpstream> serving = this.context.upstreams().serving(this.service);
		return this.context.placement()
			.choose(serving, this.tried.except(serving), room, this.request.prompt(),
					this.context.unreported().estimate());
	}

	/**
	 * Sends the request.
	 * @param upstream where to
	 * @param chooser who chose it, for the log
	 * @param full whether it is likely to wait there for a slot
	 * @param urgent whether batch items are to leave it for the request
	 */
	private void send(TrackedUpstream upstream, Chooser chooser, boolean full, boolean urgent) {
		stop(this.patience);
		this.queues.leave(this.service, this);
		this.queued = full;
		this.clock.activity();
		this.stalled = false;
		this.queues.stalls().add(this);
		LOG.info("placed", "request", this.request.id(), "upstream", upstream, "by", chooser.label(), "load",
				upstream.load(), "slots", upstream.descriptor().slots(), "sends", this.sends, "after_ms",
				this.clock.ageMillis());
		this.last = upstream;
		this.context.unreported().recordPlacement();
		this.quota.commit();
		this.attempt = Attempt.start(upstream, WorkClass.ONLINE, this.context.connections(), this.context.headers(),
				this::message, this.request.id(), this.lastEvent, new Answer());
		this.context.loadChanged().run();
		if (urgent) {
			this.context.flush().run();
		}
	}

	private FullHttpRequest message() {
		FullHttpRequest message = Attempt.newRequest(this.request.method(), this.request.uri(), this.request.headers(),
				this.request.body());
		message.headers().set(this.context.headers().deadlineMillis(), this.request.deadline().remainingMillis());
		if (this.lastEvent > 0) {
			message.headers().set(this.context.headers().lastEventId(), this.lastEvent);
		}
		return message;
	}

	/**
	 * Looks whether the upstream has fallen silent. New requests are then kept away from
	 * it, and this one goes on elsewhere if that is allowed.
	 * @param nowNanos the ticker's reading
	 */
	void checkStall(long nowNanos) {
		Duration patience = StallRule.patience(this.answering, this.queued);
		if (this.over || this.attempt == null || this.response.full()
				|| nowNanos - this.clock.lastActivityNanos() < patience.toNanos()) {
			return;
		}
		TrackedUpstream silent = this.attempt.upstream();
		if (!this.stalled) {
			this.stalled = true;
			this.queues.stalled(silent, this.clock.lastActivityNanos());
			LOG.info("upstream_silent", "request", this.request.id(), "upstream", silent, "answering", this.answering,
					"ms", (nowNanos - this.clock.lastActivityNanos()) / NANOS_PER_MILLI);
		}
		if (this.attempt.sent() && this.request.route().retryable()
				&& this.sends + 1 < this.request.route().maxAttempts()) {
			move(silent);
		}
	}

	/**
	 * Moves the request to another upstream, if a sound one has a slot free. Otherwise it
	 * stays: the silent one may go on, and an answer is not ended because of a pause.
	 * @param silent where it is
	 */
	private void move(TrackedUpstream silent) {
		long now = this.context.ticker().nanos();
		Optional<TrackedUpstream> other = choice(
				(candidate) -> candidate != silent && SlotSharing.hasFreeSlot(candidate) && !candidate.avoided(now));
		if (other.isEmpty()) {
			return;
		}
		this.tried.stoodStill(silent);
		LOG.info("moves", "request", this.request.id(), "from", silent, "to", other.get(), "last_event",
				this.lastEvent);
		this.context.metrics().attemptFailed("silent");
		this.attempt.cancel();
		this.sends++;
		this.mayHaveRun = true;
		send(other.get(), Chooser.ENTRY, false, SlotSharing.needsPreemption(other.get()));
	}

	/**
	 * Learns that the caller has closed its connection: the upstream's work is stopped.
	 */
	void callerLeft() {
		if (!this.over) {
			finish("caller_left", 0);
		}
	}

	/**
	 * Gives up waiting for a slot.
	 * @param retryAfter when the caller may come again
	 */
	void refuse(Duration retryAfter) {
		if (this.over) {
			return;
		}
		if (this.mayHaveRun || this.answering) {
			fail(BAD_GATEWAY, "no_upstream_to_go_on");
			return;
		}
		finish("refused", UNAVAILABLE);
		this.response.answer(UNAVAILABLE, "not run: no upstream has room", Optional.of(retryAfter));
	}

	private void timedOut() {
		if (!this.over) {
			fail(GATEWAY_TIMEOUT, "timed_out");
		}
	}

	private void fail(int status, String outcome) {
		boolean begun = this.answering;
		finish(outcome, begun ? 0 : status);
		if (begun) {
			this.response.breakOff();
		}
		else {
			this.response.answer(status, outcome + ": the request may have run", Optional.empty());
		}
	}

	private void finish(String outcome, int status) {
		this.over = true;
		stop(this.timeout);
		stop(this.patience);
		this.queues.stalls().remove(this);
		this.queues.leave(this.service, this);
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		this.quota.release();
		LOG.info("request_ended", "request", this.request.id(), "route", this.request.route().name(), "config",
				this.request.configurationVersion(), "outcome", outcome, "status", status, "upstream", this.last,
				"sends", this.sends, "first_ms", this.clock.firstByteMillis(), "ms", this.clock.ageMillis(),
				"last_event", this.lastEvent);
		this.context.metrics().requestEnded(outcome, this.clock.firstByteMillis(), this.clock.ageMillis());
		this.context.loadChanged().run();
		this.queues.freed(this.service);
	}

	private void active() {
		this.stalled = false;
		this.attempt.upstream().recordActivity(this.clock.activity());
	}

	private static void stop(Timers.Timer timer) {
		if (timer != null) {
			timer.cancel();
		}
	}

	/**
	 * Keeps the timer that ends the waiting for a slot.
	 * @param timer the timer
	 */
	void patience(Timers.Timer timer) {
		stop(this.patience);
		this.patience = timer;
	}

	/**
	 * Returns what takes the dispatcher's answer.
	 * @return the asker
	 */
	Slot slot() {
		return this.slot;
	}

	OnlineRequest request() {
		return this.request;
	}

	/**
	 * Returns the upstreams to keep away from.
	 * @return a part of those that were tried
	 */
	Collection<TrackedUpstream> except() {
		return this.tried.except(this.context.upstreams().serving(this.service));
	}

	/**
	 * Returns until when the request has to be sent to a free slot to be in time.
	 * @return the ticker's reading
	 */
	long goalNanos() {
		if (this.answering) {
			return this.context.ticker().nanos() + StallRule.EVENT_TIMEOUT.toNanos();
		}
		return this.clock.sendGoalNanos(this.request.route().latencyTarget());
	}

	/**
	 * Acts on what the dispatcher answers.
	 */
	final class Slot implements DispatchClient.SlotRequester {

		@Override
		public String requestId() {
			return OnlineExchange.this.request.id();
		}

		@Override
		public PrefixAffinity prefixAffinity() {
			return OnlineExchange.this.request.prompt();
		}

		@Override
		public void granted(int upstreamKey, boolean yields) {
			OnlineExchange exchange = OnlineExchange.this;
			if (exchange.over) {
				return;
			}
			Optional<TrackedUpstream> upstream = exchange.context.upstreams()
				.byKey(upstreamKey)
				.filter((known) -> !known.descriptor().draining() && !exchange.except().contains(known));
			if (upstream.isPresent()) {
				send(upstream.get(), Chooser.DISPATCHER, false, yields);
			}
			else {
				placeHere();
			}
		}

		@Override
		public void dispatcherTimedOut() {
			if (!OnlineExchange.this.over) {
				placeHere();
			}
		}

	}

	/**
	 * Acts on what the upstream answers.
	 */
	private final class Answer implements AttemptListener {

		@Override
		public void head(HttpResponse head) {
			OnlineExchange exchange = OnlineExchange.this;
			exchange.active();
			if (exchange.over || exchange.answering) {
				return;
			}
			exchange.answering = true;
			exchange.clock.answerBegins();
			exchange.response.head(head);
		}

		@Override
		public void data(byte[] data) {
			OnlineExchange exchange = OnlineExchange.this;
			exchange.active();
			exchange.lastEvent = exchange.attempt.lastEventId();
			exchange.response.write(data);
			if (exchange.response.full()) {
				Attempt writing = exchange.attempt;
				writing.read(false);
				exchange.response.onWritable(() -> writing.read(true));
			}
		}

		@Override
		public void complete() {
			OnlineExchange exchange = OnlineExchange.this;
			exchange.sends++;
			exchange.finish("answered", 200);
			exchange.response.end();
		}

		@Override
		public void notExecuted(int status) {
			OnlineExchange exchange = OnlineExchange.this;
			if (status != MISDIRECTED) {
				exchange.sends++;
			}
			TrackedUpstream refusing = attemptEnded();
			exchange.tried.ended(refusing);
			LOG.info("not_run", "request", exchange.request.id(), "upstream", refusing, "status", status, "sends",
					exchange.sends);
			exchange.context.metrics().attemptFailed("not_run");
			exchange.queues.refused(refusing, status);
			next(RetryRule.afterRefusal(exchange.request.route(), exchange.sends, exchange.mayHaveRun,
					exchange.answering));
		}

		@Override
		public void failed(SendFailure failure) {
			OnlineExchange exchange = OnlineExchange.this;
			TrackedUpstream failing = attemptEnded();
			exchange.tried.ended(failing);
			if (failure != SendFailure.NOT_SENT) {
				exchange.sends++;
				exchange.mayHaveRun = true;
				exchange.context.suspects().recordConnectionLoss(exchange.fingerprint);
			}
			LOG.info("attempt_failed", "request", exchange.request.id(), "upstream", failing, "failure", failure,
					"sends", exchange.sends, "last_event", exchange.lastEvent);
			exchange.context.metrics().attemptFailed(failure.name().toLowerCase(Locale.ROOT));
			exchange.queues.failed(failing, failure);
			next(RetryRule.afterFailure(exchange.request.route(), exchange.sends, exchange.answering, failure));
		}

		/**
		 * Forgets the attempt. While the request waits for its next one there is nothing
		 * whose silence could be watched; watched on, it was sent once by the watch and
		 * once from the queue.
		 * @return where the attempt was
		 */
		private TrackedUpstream attemptEnded() {
			OnlineExchange exchange = OnlineExchange.this;
			TrackedUpstream upstream = exchange.attempt.upstream();
			exchange.attempt = null;
			exchange.queues.stalls().remove(exchange);
			exchange.context.loadChanged().run();
			return upstream;
		}

		private void next(RetryRule.Next next) {
			OnlineExchange exchange = OnlineExchange.this;
			switch (next) {
				case AGAIN -> exchange.place();
				case REFUSE -> exchange.refuse(DEFAULT_RETRY_AFTER);
				case UNKNOWN -> exchange.fail(BAD_GATEWAY, "upstream_failed");
				case BREAK_OFF -> exchange.fail(BAD_GATEWAY, "upstream_broke_off");
			}
		}

	}

}
