package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.ragworthook.core.admission.AccountShares;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.gateway.account.ClientAccount;
import org.ragworthook.gateway.attempt.Attempt;
import org.ragworthook.gateway.attempt.AttemptListener;
import org.ragworthook.gateway.attempt.HeadCheck;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.event.SseFrameDecoder;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.http.ResponseEnd;
import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.observe.RunObserver;
import org.ragworthook.gateway.origin.StreamOrigin;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.WorkClass;

/**
 * An item whose result is not published yet, with the output of all its runs so far.
 * After a run that was interrupted, the next one resumes after the last complete event.
 */
final class ItemRun {

	private static final EventLog LOG = EventLog.of(ItemRun.class);

	/**
	 * Headers by which a message is delimited, or that concern a single connection. An
	 * item that states one of them would change where its request ends.
	 */
	private static final List<String> RESERVED_HEADERS = List.of("connection", "content-length", "expect", "keep-alive",
			"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade");

	private static final int OK = 200;

	private static final int UNPROCESSABLE = 422;

	private static final int SERVER_ERROR = 500;

	/** More characters than a token of a known vocabulary stands for. */
	private static final long MAX_TOKEN_LENGTH = 1_024;

	/**
	 * Pause after the first run without progress or with a server error; it doubles with
	 * each further one.
	 */
	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

	/**
	 * Limit on the doublings, which bounds the pause to 1.6 s. Upstreams may crash one
	 * after the other under a sound item, and while most slots are free it must not wait
	 * for as long as 5 s.
	 */
	private static final int MAX_BACKOFF_DOUBLINGS = 4;

	/**
	 * Limit on the doublings of the time that the item may wait in an engine's queue. The
	 * time grows to some seconds, so that slow engines get to run the item in the end.
	 */
	private static final int MAX_QUEUE_TIME_DOUBLINGS = 5;

	/**
	 * Limit on the doublings of the time without progress after which a run counts as
	 * stalled. The time grows until an upstream that is much slower than all that was
	 * observed gets to send two events, which show its pace.
	 */
	private static final int MAX_STALL_TIMEOUT_DOUBLINGS = 6;

	private final Job job;

	private final JobItem item;

	private final StringBuilder output = new StringBuilder();

	private boolean hasOutput;

	private long lastEvent;

	/** The software that wrote the output, or empty if there is none. */
	private Optional<StreamOrigin> origin = Optional.empty();

	/** Since when the item waits for its origin, or {@link Long#MIN_VALUE}. */
	private long waitsForOriginNanos = Long.MIN_VALUE;

	private int serverErrors;

	/**
	 * Consecutive runs that were interrupted without a new event; a run that could not be
	 * sent, or was interrupted by a cause in this process, resets the count.
	 */
	private int runsWithoutProgress;

	private long startedNanos;

	/** The ticker's reading at the first start, or {@link Long#MIN_VALUE} before it. */
	private long firstStartedNanos = Long.MIN_VALUE;

	/** When the result is due, Unix milliseconds. */
	private long dueMillis = Long.MAX_VALUE;

	/** Consecutive withdrawals from an engine's queue. */
	private int withdrawals;

	/** Consecutive runs that have stalled before their second new event. */
	private int stalls;

	/** The run in progress, or {@code null} if there is none. */
	private Run current;

	private long notBeforeNanos = Long.MIN_VALUE;

	ItemRun(Job job, JobItem item) {
		this.job = Objects.requireNonNull(job, "job is null");
		this.item = Objects.requireNonNull(item, "item is null");
	}

	Job job() {
		return this.job;
	}

	JobItem item() {
		return this.item;
	}

	/**
	 * Returns the number under which the item's slot is counted.
	 * @return the tag of the account that owns the job, or
	 * {@link AccountShares#NO_ACCOUNT}
	 */
	int accountTag() {
		return this.job.account().map(ClientAccount::tag).orElse(AccountShares.NO_ACCOUNT);
	}

	long dueMillis() {
		return this.dueMillis;
	}

	void dueMillis(long millis) {
		this.dueMillis = millis;
	}

	long lastEvent() {
		return this.lastEvent;
	}

	/**
	 * Returns when the item was started first.
	 * @return the ticker's reading
	 */
	long firstStartedNanos() {
		return this.firstStartedNanos;
	}

	boolean running() {
		return this.current != null;
	}

	boolean runningAt(TrackedUpstream upstream) {
		return this.current != null && this.current.upstream == upstream;
	}

	boolean mayStart(long nowNanos) {
		return this.current == null && (this.notBeforeNanos == Long.MIN_VALUE || this.notBeforeNanos - nowNanos <= 0);
	}

	/**
	 * Returns how long the item still must not be started.
	 * @param nowNanos the ticker's reading
	 * @return the time, zero if the item may be started
	 */
	Duration rest(long nowNanos) {
		return mayStart(nowNanos) ? Duration.ZERO : Duration.ofNanos(Math.max(0, this.notBeforeNanos - nowNanos));
	}

	/**
	 * Returns the upstream in whose queue the item has waited too long.
	 * @param nowNanos the ticker's reading
	 * @param maxQueueTime gives how long the item may wait for a response head at an
	 * upstream until the first withdrawal; doubled with each withdrawal in a row
	 * @return the upstream, or empty if the item does not run or has not exceeded its
	 * time
	 */
	Optional<TrackedUpstream> queuedTooLongAt(long nowNanos, Function<TrackedUpstream, Duration> maxQueueTime) {
		if (this.current == null || this.current.statusCode != 0) {
			return Optional.empty();
		}
		long limit = maxQueueTime.apply(this.current.upstream).toNanos() << Math.min(this.withdrawals,
				MAX_QUEUE_TIME_DOUBLINGS);
		return (nowNanos - this.startedNanos >= limit) ? Optional.of(this.current.upstream) : Optional.empty();
	}

	/**
	 * Withdraws the item from the queue of an engine that has not begun to run it.
	 */
	void withdraw() {
		this.withdrawals++;
		stop();
	}

	/**
	 * Returns the run in progress if its response has begun and has made no progress for
	 * too long. Must be called regularly.
	 * @param nowNanos the ticker's reading
	 * @param timeout gives how long a run at an upstream may make no progress; doubled
	 * with each run in a row that stalls before its second event
	 * @return the run, or empty if there is none or it has not exceeded its time
	 */
	Optional<StalledRun> stalled(long nowNanos, BiFunction<TrackedUpstream, RunProgress, Duration> timeout) {
		if (this.current == null || this.current.statusCode == 0) {
			return Optional.empty();
		}
		RunProgress progress = this.current.progress;
		Duration silence = progress.silence(nowNanos);
		Duration limit = timeout.apply(this.current.upstream, progress)
			.multipliedBy(1L << Math.min(this.stalls, MAX_STALL_TIMEOUT_DOUBLINGS));
		return (silence.compareTo(limit) < 0) ? Optional.empty() : Optional
			.of(new StalledRun(this.current.upstream, this.current.statusCode, progress.events(), silence, limit));
	}

	/**
	 * Ends the run in progress, which has stalled. Counts against its upstream and not
	 * against the item.
	 */
	void endStalled() {
		Run stalled = this.current;
		this.stalls = (stalled.progress.events() > 1) ? 0 : this.stalls + 1;
		stop();
		stalled.observer.ended(RunObserver.End.FAILED);
	}

	void start(TrackedUpstream upstream, ConnectionPool pool, HeaderNames names, RunListener listener) {
		LOG.info("item_placed", "job", this.job.id(), "item", this.item.id(), "upstream", upstream, "version",
				upstream.descriptor().version(), "load", upstream.load(), "from_event", this.lastEvent,
				"runs_without_progress", this.runsWithoutProgress);
		this.startedNanos = listener.nanosAfter(Duration.ZERO);
		this.waitsForOriginNanos = Long.MIN_VALUE;
		if (this.firstStartedNanos == Long.MIN_VALUE) {
			this.firstStartedNanos = this.startedNanos;
		}
		Run started = new Run(upstream, this.lastEvent, this.startedNanos, listener,
				maxOutputLength(pool.maxValueBytes()));
		this.current = started;
		started.attempt = Attempt.start(upstream, WorkClass.BATCH, pool, names, new Attempt.Outgoing(
				() -> request(names), this.item.id(), this.lastEvent, HeadCheck.any(), started.observer), started);
	}

	/**
	 * Returns how long the output can be.
	 * @param maxValueBytes the limit on what an upstream sends at once
	 * @return the number of characters
	 */
	private long maxOutputLength(long maxValueBytes) {
		return Math.max(maxValueBytes, this.item.tokens() * MAX_TOKEN_LENGTH);
	}

	private FullHttpRequest request(HeaderNames names) {
		HttpHeaders headers = new DefaultHttpHeaders(false);
		this.item.headers().forEach(headers::set);
		RESERVED_HEADERS.forEach(headers::remove);
		headers.remove(names.lastEventId());
		names.replaceKeyWithAccount(headers, this.job.account());
		headers.set(HttpHeaderNames.HOST, this.job.host());
		if (this.lastEvent > 0) {
			headers.set(names.lastEventId(), this.lastEvent);
		}
		return Attempt.newRequest("POST", this.item.path(), headers, Base64.getDecoder().decode(this.item.body()));
	}

	/**
	 * Aborts the run in progress, if any, without an outcome.
	 */
	void stop() {
		if (this.current != null) {
			Run stopped = this.current;
			this.current = null;
			stopped.attempt.cancel();
		}
	}

	/**
	 * Returns the progress of the item.
	 * @return its output up to the last numbered event, or empty if there is none
	 */
	Optional<ItemProgress> progress() {
		return (this.lastEvent > 0) ? Optional
			.of(new ItemProgress(this.job.id(), this.item.id(), this.lastEvent, this.origin, this.output.toString()))
				: Optional.empty();
	}

	/**
	 * Resumes from progress that an earlier owner has saved, if it is ahead of this
	 * one's, the item does not run and the software that wrote the output is known.
	 * @param saved the saved progress
	 */
	void resumeFrom(ItemProgress saved) {
		if (this.current == null && saved.lastEvent() > this.lastEvent && saved.origin().isPresent()) {
			this.lastEvent = saved.lastEvent();
			this.origin = saved.origin();
			this.hasOutput = true;
			this.output.setLength(0);
			this.output.append(saved.output());
		}
	}

	/**
	 * Returns the software that wrote the output so far, which alone can continue it.
	 * @return the origin, or empty if the next run begins with the first event
	 */
	Optional<StreamOrigin> origin() {
		return (this.lastEvent > 0) ? this.origin : Optional.empty();
	}

	/**
	 * Returns whether the next run may be at an upstream.
	 * @param upstream the upstream
	 * @return false if other software wrote the output so far
	 */
	boolean continuedBy(TrackedUpstream upstream) {
		return origin().isEmpty() || this.origin.get().continuedBy(upstream.descriptor());
	}

	/**
	 * Returns whether the item has output and was not started for some time. Called
	 * whenever the item could be started.
	 * @param nowNanos the ticker's reading
	 * @param limit the time
	 * @return whether it was called first, since the last start, that long ago
	 */
	boolean waitedForOrigin(long nowNanos, Duration limit) {
		if (origin().isEmpty()) {
			return false;
		}
		if (this.waitsForOriginNanos == Long.MIN_VALUE) {
			this.waitsForOriginNanos = nowNanos;
		}
		return nowNanos - this.waitsForOriginNanos >= limit.toNanos();
	}

	/**
	 * Discards the output, so that the next run begins with the first event. Must not be
	 * called while the item runs.
	 */
	void restart() {
		LOG.info("item_restarted", "job", this.job.id(), "item", this.item.id(), "origin",
				origin().map(String::valueOf).orElse("none"), "last_event", this.lastEvent);
		this.lastEvent = 0;
		this.origin = Optional.empty();
		this.hasOutput = false;
		this.output.setLength(0);
	}

	int serverErrors() {
		return this.serverErrors;
	}

	/**
	 * Adds the data of an event, or of several, to a text.
	 * @param text the text so far
	 * @param hasData whether the text has the data of an event, which may be empty
	 * @param data the data
	 */
	private static void append(StringBuilder text, boolean hasData, CharSequence data) {
		if (hasData) {
			text.append('\n');
		}
		text.append(data);
	}

	/**
	 * One run of the item. Only the end of a response that is the item's stream of
	 * events, from the event that the run was asked for, completes the item.
	 */
	private final class Run implements AttemptListener {

		private final TrackedUpstream upstream;

		/** The event after which the run was asked to resume, or 0. */
		private final long resumedAfter;

		private final RunListener listener;

		/**
		 * Data of events without a number since the last numbered one. A run that resumes
		 * after that one sends them again, so they are not kept when this run ends early.
		 */
		private final StringBuilder unnumbered = new StringBuilder();

		private boolean hasUnnumbered;

		private final RunObserver observer;

		private final RunProgress progress;

		private final long maxOutputLength;

		/** Whether the upstream has sent more than the item can have as its output. */
		private boolean exceeded;

		private Attempt attempt;

		private int statusCode;

		private boolean eventStream;

		Run(TrackedUpstream upstream, long resumedAfter, long startedNanos, RunListener listener,
				long maxOutputLength) {
			this.maxOutputLength = maxOutputLength;
			this.upstream = upstream;
			this.resumedAfter = resumedAfter;
			this.observer = listener.observe(upstream);
			this.progress = new RunProgress(startedNanos);
			this.listener = listener;
		}

		@Override
		public void head(HttpResponse head) {
			this.statusCode = head.status().code();
			this.eventStream = this.attempt.eventStream();
			this.progress.head(this.listener.nanosAfter(Duration.ZERO));
			ItemRun.this.withdrawals = 0;
		}

		@Override
		public void data(byte[] data) {
			this.listener.received(this.upstream);
			if (!this.eventStream) {
				return;
			}
			long number = this.attempt.lastEventId();
			Optional<String> text = SseFrameDecoder.data(data);
			if (exceedsItem(number, text.map(String::length).orElse(0))) {
				this.exceeded = true;
				this.attempt.failAsMalformed();
				return;
			}
			if (number == ItemRun.this.lastEvent) {
				text.ifPresent((present) -> {
					append(this.unnumbered, this.hasUnnumbered, present);
					this.hasUnnumbered = true;
				});
				return;
			}
			keepUnnumbered();
			ItemRun.this.origin = Optional.of(StreamOrigin.of(this.upstream.descriptor()));
			ItemRun.this.lastEvent = number;
			this.progress.event(this.listener.nanosAfter(Duration.ZERO));
			text.ifPresent(this::keep);
		}

		/**
		 * Returns whether an event cannot belong to the item. Each event has at least one
		 * of the tokens that the item states.
		 * @param number the number of the last numbered event up to this one
		 * @param length the length of its data
		 * @return whether the output would have more events or characters than possible
		 */
		private boolean exceedsItem(long number, int length) {
			int tokens = ItemRun.this.item.tokens();
			return (tokens > 0 && number > tokens)
					|| ItemRun.this.output.length() + this.unnumbered.length() + length > this.maxOutputLength;
		}

		private void keepUnnumbered() {
			if (this.hasUnnumbered) {
				keep(this.unnumbered);
				this.unnumbered.setLength(0);
				this.hasUnnumbered = false;
			}
		}

		private void keep(CharSequence data) {
			append(ItemRun.this.output, ItemRun.this.hasOutput, data);
			ItemRun.this.hasOutput = true;
		}

		@Override
		public void complete(ResponseEnd end) {
			ItemRun run = ItemRun.this;
			if (this.statusCode == OK && !completesItem()) {
				failed(SendFailure.MALFORMED);
				return;
			}
			run.current = null;
			LOG.info("item_answered", "job", run.job.id(), "item", run.item.id(), "upstream", this.upstream, "status",
					this.statusCode, "end", end.label(), "stream", this.eventStream, "first_event",
					this.resumedAfter + 1, "last_event", run.lastEvent, "server_errors", run.serverErrors,
					"carried_before", carriedBefore(), "skipped", skippedResponses());
			if (this.statusCode == OK) {
				this.listener.succeeded(run, this.upstream, end);
				keepUnnumbered();
				this.listener.ended(run, Optional.of(new ItemOutcome(run.item.id(), true, run.output.toString())));
			}
			else if (this.statusCode == UNPROCESSABLE) {
				this.listener.ended(run, Optional.of(ItemOutcome.givenUp(run.item.id())));
			}
			else {
				run.serverErrors += (this.statusCode == SERVER_ERROR) ? 1 : 0;
				backOff();
				this.listener.ended(run, Optional.empty());
			}
		}

		/**
		 * Returns whether the end of the response is the end of the item. A resumed run
		 * may have no event, if the run before it broke off after the last one; a run
		 * from the beginning has some.
		 * @return whether the item is complete
		 */
		private boolean completesItem() {
			return this.eventStream && (ItemRun.this.lastEvent > 0 || this.hasUnnumbered);
		}

		@Override
		public void notExecuted(int refusal) {
			ItemRun run = ItemRun.this;
			LOG.info("item_not_run", "job", run.job.id(), "item", run.item.id(), "upstream", this.upstream, "status",
					refusal, "carried_before", carriedBefore(), "skipped", skippedResponses());
			this.listener.refused(this.upstream);
			run.current = null;
			run.notBeforeNanos = this.listener.nanosAfter(INITIAL_BACKOFF);
			this.listener.ended(run, Optional.empty());
		}

		@Override
		public void failed(SendFailure failure) {
			ItemRun run = ItemRun.this;
			LOG.info("item_broke_off", "job", run.job.id(), "item", run.item.id(), "upstream", this.upstream, "failure",
					failure, "status", this.statusCode, "stream", this.eventStream, "first_event",
					this.resumedAfter + 1, "last_event", run.lastEvent, "unnumbered", this.unnumbered.length(),
					"carried_before", carriedBefore(), "skipped", skippedResponses());
			this.listener.failed(run, this.upstream, failure);
			run.current = null;
			if (this.exceeded) {
				run.restart();
			}
			boolean ranWithoutProgress = failure != SendFailure.NOT_SENT && failure.countsAgainstUpstream()
					&& run.lastEvent <= this.resumedAfter;
			run.runsWithoutProgress = ranWithoutProgress ? run.runsWithoutProgress + 1 : 0;
			backOff();
			this.listener.ended(run, Optional.empty());
		}

		/**
		 * Returns how many requests the connection of the ended run carried before.
		 * @return the number, or 0 if the run has failed before its start was over
		 */
		private int carriedBefore() {
			return (this.attempt != null) ? this.attempt.carriedBefore() : 0;
		}

		private int skippedResponses() {
			return (this.attempt != null) ? this.attempt.skippedResponses() : 0;
		}

		private void backOff() {
			ItemRun run = ItemRun.this;
			int doublings = Math.min(MAX_BACKOFF_DOUBLINGS,
					Math.max(0, run.runsWithoutProgress + run.serverErrors - 1));
			Duration pause = INITIAL_BACKOFF.multipliedBy(1L << doublings);
			run.notBeforeNanos = this.listener.nanosAfter(pause);
			LOG.info("item_rests", "job", run.job.id(), "item", run.item.id(), "ms", pause.toMillis(),
					"runs_without_progress", run.runsWithoutProgress, "server_errors", run.serverErrors);
		}

	}

	/**
	 * A run whose response has begun and has made no progress for too long.
	 *
	 * @param upstream the upstream of the run
	 * @param status the status of the response
	 * @param events the new events that the run has brought
	 * @param silence the time without progress
	 * @param limit the time without progress that was allowed
	 */
	record StalledRun(TrackedUpstream upstream, int status, int events, Duration silence, Duration limit) {
	}

	/**
	 * Receives the results of runs.
	 */
	interface RunListener {

		/**
		 * Called when a run has ended.
		 * @param run the item
		 * @param outcome the item's outcome, or empty if it is to be run again
		 */
		void ended(ItemRun run, Optional<ItemOutcome> outcome);

		/**
		 * Called when an upstream refused an item.
		 * @param upstream the upstream
		 */
		void refused(TrackedUpstream upstream);

		/**
		 * Called when an upstream interrupted a run or could not be reached.
		 * @param run the item
		 * @param upstream the upstream
		 * @param failure how the run failed
		 */
		void failed(ItemRun run, TrackedUpstream upstream, SendFailure failure);

		/**
		 * Called when a run has ended with the whole output.
		 * @param run the item
		 * @param upstream the upstream
		 * @param end what marked the end of the response
		 */
		void succeeded(ItemRun run, TrackedUpstream upstream, ResponseEnd end);

		/**
		 * Called when an upstream has sent a part of its response.
		 * @param upstream the upstream
		 */
		void received(TrackedUpstream upstream);

		/**
		 * Begins to observe a run.
		 * @param upstream the upstream that the item is sent to
		 * @return receives the times of the run
		 */
		default RunObserver observe(TrackedUpstream upstream) {
			return RunObserver.none();
		}

		/**
		 * Returns the ticker's reading at the end of a delay that starts now.
		 * @param delay the delay
		 * @return the reading, nanoseconds
		 */
		long nanosAfter(Duration delay);

	}

}
