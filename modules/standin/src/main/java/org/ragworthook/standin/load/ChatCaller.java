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
		return attempt(targets, request, System.nanoTime(), 0);
	}

	private Future<CallRecord> attempt(List<Target> targets, PromptMix.Request request, long start, int resends) {
		Target target = targets.get(resends % targets.size());
		return new Attempt().run(this.client, target, request)
			.map((attempt) -> record(attempt, request, start, resends))
			.recover((failure) -> {
				if (resends < MOST_RESENDS) {
					return this.vertx.timer(PAUSE_MILLIS)
						.compose((nothing) -> attempt(targets, request, start, resends + 1));
				}
				return Future.succeededFuture(new CallRecord(request.tag(), CallRecord.End.BROKEN, 0,
						String.valueOf(failure.getMessage()), resends, start, List.of(), System.nanoTime()));
			});
	}

	private static CallRecord record(Attempt attempt, PromptMix.Request request, long start, int resends) {
		CallRecord.End end = CallRecord.End.REFUSED;
		String detail = attempt.error();
		if (detail.isEmpty()) {
			String expected = request.expected();
			boolean whole = attempt.text().equals(expected);
			end = whole ? CallRecord.End.WHOLE : CallRecord.End.WRONG;
			detail = whole ? "" : "got '" + attempt.text() + "' for '" + expected + "'";
		}
		return new CallRecord(request.tag(), end, attempt.status(), detail, resends, start, attempt.tokenNanos(),
				System.nanoTime());
	}

}
