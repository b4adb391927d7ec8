package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.Base64;
import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.gateway.attempt.Attempt;
import org.ragworthook.gateway.attempt.AttemptListener;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.event.SseFrameDecoder;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.WorkClass;

/**
 * An item that is not listed yet: what is known of its output, over all its runs. A run
 * that breaks off is gone on with after the last whole event.
 */
final class ItemRun {

	private static final EventLog LOG = EventLog.of(ItemRun.class);

	private static final int OK = 200;

	private static final int UNPROCESSABLE = 422;

	private static final int SERVER_ERROR = 500;

	/** The first pause after a run that broke off; it doubles with each. */
	private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

	private static final int MOST_DOUBLINGS = 3;

	/**
	 * Fruitless runs after which an item is taken to crash the upstreams that run it. It
	 * may not be given up for that, so it is run seldom until its time is up.
	 */
	private static final int SUSPECT_AT = 3;

	private static final Duration SUSPECT_PAUSE = Duration.ofSeconds(20);

	/**
	 * Doublings of the time that an item may wait in an engine's queue, up to some
	 * seconds, so that slow engines are used at last.
	 */
	private static final int MOST_PATIENCE = 5;

	private final Job job;

	private final JobItem item;

	private final StringBuilder output = new StringBuilder();

	private boolean hasOutput;

	private long lastEvent;

	private int serverErrors;

	/** Runs in a row that broke off without a new event. */
	private int fruitless;

	private long startedAfter;

	private long startedNanos;

	/** When it was started first, or {@link Long#MIN_VALUE}. */
	private long firstStartedNanos = Long.MIN_VALUE;

	/** When its result is due, Unix milliseconds. */
	private long dueMillis = Long.MAX_VALUE;

	/** How often in a row it was taken out of an engine's queue. */
	private int queuedTimes;

	private int status;

	private Attempt attempt;

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

	long dueMillis() {
		return this.dueMillis;
	}

	void dueMillis(long due) {
		this.dueMillis = due;
	}

	long lastEvent() {
		return this.lastEvent;
	}

	/**
	 * Returns since when the item is worked on.
	 * @return the ticker's reading of its first start
	 */
	long firstStartedNanos() {
		return this.firstStartedNanos;
	}

	boolean running() {
		return this.attempt != null;
	}

	boolean at(TrackedUpstream upstream) {
		return this.attempt != null && this.attempt.upstream() == upstream;
	}

	boolean mayStart(long nowNanos) {
		return this.attempt == null && (this.notBeforeNanos == Long.MIN_VALUE || this.notBeforeNanos - nowNanos <= 0);
	}

	/**
	 * Tells whether the item waits in the queue of an engine.
	 * @param nowNanos the ticker's reading
	 * @param patience how long it may be without an answer when it is taken out the first
	 * time
	 * @return the upstream, or empty if it does not
	 */
	Optional<TrackedUpstream> queuedAt(long nowNanos, Duration patience) {
		long most = patience.toNanos() << Math.min(this.queuedTimes, MOST_PATIENCE);
		boolean queued = this.attempt != null && this.status == 0 && nowNanos - this.startedNanos >= most;
		return queued ? Optional.of(this.attempt.upstream()) : Optional.empty();
	}

	/**
	 * Takes the item out of the queue of an engine, which has not begun with it.
	 */
	void leaveQueue() {
		this.queuedTimes++;
		stop();
	}

	void start(TrackedUpstream upstream, ConnectionPool pool, HeaderNames names, ItemListener listener) {
		LOG.info("item_placed", "job", this.job.id(), "item", this.item.id(), "upstream", upstream, "load",
				upstream.load(), "from_event", this.lastEvent, "fruitless", this.fruitless);
		this.status = 0;
		this.startedNanos = listener.nanosAfter(Duration.ZERO);
		if (this.firstStartedNanos == Long.MIN_VALUE) {
			this.firstStartedNanos = this.startedNanos;
		}
		this.startedAfter = this.lastEvent;
		this.attempt = Attempt.start(upstream, WorkClass.BATCH, pool, names, () -> message(names), this.item.id(),
				this.lastEvent, new Answer(listener));
	}

	private FullHttpRequest message(HeaderNames names) {
		HttpHeaders headers = new DefaultHttpHeaders(false);
		this.item.headers().forEach(headers::set);
		names.replaceKeyWithAccount(headers, this.job.account());
		headers.set(HttpHeaderNames.HOST, this.job.host());
		if (this.lastEvent > 0) {
			headers.set(names.lastEventId(), this.lastEvent);
		}
		return Attempt.newRequest("POST", this.item.path(), headers, Base64.getDecoder().decode(this.item.body()));
	}

	/**
	 * Stops the run, if one is in progress, without an outcome.
	 */
	void stop() {
		if (this.attempt != null) {
			this.attempt.cancel();
			this.attempt = null;
		}
	}

	/**
	 * Returns how far the item is.
	 * @return its output up to the last whole event, or empty if it has none
	 */
	Optional<ItemProgress> progress() {
		return (this.lastEvent > 0)
				? Optional.of(new ItemProgress(this.job.id(), this.item.id(), this.lastEvent, this.output.toString()))
				: Optional.empty();
	}

	/**
	 * Takes over what an earlier owner has of the output, if that is more than is there.
	 * @param saved how far the item was
	 */
	void goOnAfter(ItemProgress saved) {
		if (this.attempt == null && saved.lastEvent() > this.lastEvent) {
			this.lastEvent = saved.lastEvent();
			this.hasOutput = true;
			this.output.setLength(0);
			this.output.append(saved.output());
		}
	}

	int serverErrors() {
		return this.serverErrors;
	}

	private final class Answer implements AttemptListener {

		private final ItemListener listener;

		Answer(ItemListener listener) {
			this.listener = listener;
		}

		@Override
		public void head(HttpResponse head) {
			ItemRun.this.status = head.status().code();
			ItemRun.this.queuedTimes = 0;
		}

		@Override
		public void data(byte[] data) {
			if (ItemRun.this.status != OK) {
				return;
			}
			ItemRun.this.lastEvent = ItemRun.this.attempt.lastEventId();
			SseFrameDecoder.data(data).ifPresent((text) -> {
				if (ItemRun.this.hasOutput) {
					ItemRun.this.output.append('\n');
				}
				ItemRun.this.hasOutput = true;
				ItemRun.this.output.append(text);
			});
		}

		@Override
		public void complete() {
			ItemRun run = ItemRun.this;
			TrackedUpstream upstream = run.attempt.upstream();
			run.attempt = null;
			LOG.info("item_answered", "job", run.job.id(), "item", run.item.id(), "upstream", upstream, "status",
					run.status, "last_event", run.lastEvent, "server_errors", run.serverErrors);
			if (run.status == OK) {
				this.listener.ended(run, Optional.of(new ItemOutcome(run.item.id(), true, run.output.toString())));
			}
			else if (run.status == UNPROCESSABLE) {
				this.listener.ended(run, Optional.of(ItemOutcome.givenUp(run.item.id())));
			}
			else {
				run.serverErrors += (run.status == SERVER_ERROR) ? 1 : 0;
				pause();
				this.listener.ended(run, Optional.empty());
			}
		}

		@Override
		public void notExecuted(int refusal) {
			ItemRun run = ItemRun.this;
			LOG.info("item_not_run", "job", run.job.id(), "item", run.item.id(), "upstream", run.attempt.upstream(),
					"status", refusal);
			this.listener.refused(run.attempt.upstream());
			run.attempt = null;
			run.notBeforeNanos = this.listener.nanosAfter(FIRST_PAUSE);
			this.listener.ended(run, Optional.empty());
		}

		@Override
		public void failed(SendFailure failure) {
			ItemRun run = ItemRun.this;
			LOG.info("item_broke_off", "job", run.job.id(), "item", run.item.id(), "upstream", run.attempt.upstream(),
					"failure", failure, "last_event", run.lastEvent);
			this.listener.failed(run.attempt.upstream());
			run.attempt = null;
			boolean ran = failure != SendFailure.NOT_SENT && run.lastEvent == run.startedAfter;
			run.fruitless = ran ? run.fruitless + 1 : 0;
			pause();
			this.listener.ended(run, Optional.empty());
		}

		private void pause() {
			ItemRun run = ItemRun.this;
			int doublings = Math.min(MOST_DOUBLINGS, Math.max(0, run.fruitless + run.serverErrors - 1));
			run.notBeforeNanos = this.listener
				.nanosAfter((run.fruitless >= SUSPECT_AT) ? SUSPECT_PAUSE : FIRST_PAUSE.multipliedBy(1L << doublings));
		}

	}

	/**
	 * Takes what becomes of a run.
	 */
	interface ItemListener {

		/**
		 * Learns that a run has ended.
		 * @param run the item
		 * @param outcome how the item ended, or empty if it is to be run again
		 */
		void ended(ItemRun run, Optional<ItemOutcome> outcome);

		/**
		 * Learns that an upstream refused an item.
		 * @param upstream the upstream
		 */
		void refused(TrackedUpstream upstream);

		/**
		 * Learns that an upstream broke off or could not be reached.
		 * @param upstream the upstream
		 */
		void failed(TrackedUpstream upstream);

		/**
		 * Returns the ticker's reading after a pause.
		 * @param pause the pause
		 * @return nanoseconds
		 */
		long nanosAfter(Duration pause);

	}

}
