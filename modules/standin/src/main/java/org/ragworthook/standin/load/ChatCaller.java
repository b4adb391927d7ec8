package org.ragworthook.standin.load;

import java.util.List;
import java.util.Objects;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

/**
 * Makes chat calls as a careful caller does: when its connection breaks it sends the call
 * again, to the next target.
 */
public final class ChatCaller {

	private static final int MOST_RESENDS = 3;

	private static final long PAUSE_MILLIS = 100;

	private final Vertx vertx;

	private final HttpClient client;

	private ChatCaller(Vertx vertx) {
		this.vertx = vertx;
		this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(2_000).setTcpNoDelay(true),
				new PoolOptions().setHttp1MaxSize(2_000));
	}

	/**
	 * Returns a caller.
	 * @param vertx runs its calls
	 * @return a new caller
	 */
	public static ChatCaller of(Vertx vertx) {
		return new ChatCaller(Objects.requireNonNull(vertx, "vertx is null"));
	}

	/**
	 * Makes a call.
	 * @param targets where to send it, the first one first
	 * @param request the call
	 * @return how it ended; never fails
	 */
	public Future<CallRecord> call(List<Target> targets, PromptMix.Request request) {
		return new Call(targets, request).attempt();
	}

	private final class Call {

		private final List<Target> targets;

		private final PromptMix.Request request;

		private final long startNanos = System.nanoTime();

		private int resends;

		private int cutOffs;

		Call(List<Target> targets, PromptMix.Request request) {
			this.targets = targets;
			this.request = request;
		}

		Future<CallRecord> attempt() {
			Target target = this.targets.get(this.resends % this.targets.size());
			Attempt attempt = new Attempt();
			return attempt.run(ChatCaller.this.client, target, this.request)
				.map(this::answered)
				.recover((failure) -> broke(attempt, failure));
		}

		private Future<CallRecord> broke(Attempt attempt, Throwable failure) {
			if (attempt.sent()) {
				this.cutOffs++;
			}
			if (this.resends < MOST_RESENDS) {
				this.resends++;
				return ChatCaller.this.vertx.timer(PAUSE_MILLIS).compose((nothing) -> attempt());
			}
			return Future.succeededFuture(record(CallRecord.End.BROKEN, 0, String.valueOf(failure), List.of()));
		}

		private CallRecord answered(Attempt attempt) {
			if (!attempt.error().isEmpty()) {
				return record(CallRecord.End.REFUSED, attempt.status(), attempt.error(), attempt.tokenNanos());
			}
			String expected = this.request.expected();
			if (attempt.text().equals(expected)) {
				return record(CallRecord.End.WHOLE, attempt.status(), "", attempt.tokenNanos());
			}
			String detail = "got '" + attempt.text() + "' for '" + expected + "'";
			return record(CallRecord.End.WRONG, attempt.status(), detail, attempt.tokenNanos());
		}

		private CallRecord record(CallRecord.End end, int status, String detail, List<Long> tokenNanos) {
			return new CallRecord(this.request.tag(), end, status, detail, this.resends, this.cutOffs, this.startNanos,
					tokenNanos, System.nanoTime());
		}

	}

}
