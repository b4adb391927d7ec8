package org.ragworthook.daemon.entry;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.RequestException;
import org.ragworthook.wire.message.Done;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Output;
import org.ragworthook.wire.message.Run;

/**
 * One online request from its acceptance to its answer, over all attempts. Its state is
 * confined to the context of the caller's connection; what comes from links is handed
 * over to it.
 */
final class OnlineExchange {

	private static final int MOST_ATTEMPTS = 3;

	private final OnlinePath path;

	private final OnlineRequest request;

	private final RoutingContext routing;

	private final Context context;

	private final Set<Sidecar> tried = new HashSet<>();

	private final StringBuilder text = new StringBuilder();

	private final long startNanos = System.nanoTime();

	private Sidecar current;

	private int attempt;

	private int tokens;

	private boolean ended;

	OnlineExchange(OnlinePath path, OnlineRequest request, RoutingContext routing, Context context) {
		this.path = Objects.requireNonNull(path, "path is null");
		this.request = Objects.requireNonNull(request, "request is null");
		this.routing = Objects.requireNonNull(routing, "routing is null");
		this.context = Objects.requireNonNull(context, "context is null");
	}

	void start() {
		this.routing.response().closeHandler((ignored) -> callerGone());
		next(ErrorCode.REQUEST_NOT_RUN_NO_UPSTREAM,
				"no upstream of '" + this.request.service().name() + "' is reachable");
	}

	private void next(ErrorCode otherwise, String detail) {
		Sidecar choice = (this.attempt < MOST_ATTEMPTS) ? this.path.choose(this.request, this.tried).orElse(null)
				: null;
		if (choice == null) {
			fail(otherwise, detail);
			return;
		}
		this.attempt++;
		this.current = choice;
		this.tried.add(choice);
		Run run = this.request.run()
			.toBuilder()
			.setAttempt(this.attempt)
			.setResumeText(this.text.toString())
			.setResumeTokens(this.tokens)
			.build();
		if (!choice.start(Lane.LANE_ONLINE, run, new Attempt(this.attempt))) {
			next(otherwise, detail);
		}
	}

	private void output(Output output) {
		this.text.append(output.getText());
		this.tokens += output.getTokens();
		HttpServerResponse response = this.routing.response();
		if (!response.headWritten() && output.getStatus() != 0) {
			response.setStatusCode(output.getStatus()).setChunked(this.request.run().getStream());
			if (!output.getContentType().isEmpty()) {
				response.putHeader("Content-Type", output.getContentType());
			}
		}
		if (output.getBody().isEmpty()) {
			return;
		}
		if (!response.headWritten()) {
			this.path.metrics()
				.firstToken(this.request.account().name(), "online")
				.record(System.nanoTime() - this.startNanos, TimeUnit.NANOSECONDS);
		}
		if (this.request.run().getStream()) {
			response.write(Buffer.buffer(output.getBody().toByteArray()));
		}
		else {
			this.ended = true;
			response.end(Buffer.buffer(output.getBody().toByteArray()));
		}
	}

	private void done(Done done) {
		switch (done.getOutcome()) {
			case OUTCOME_ANSWERED -> answered();
			case OUTCOME_NOT_PASSED_ON -> next(ErrorCode.REQUEST_NOT_RUN_NO_UPSTREAM, done.getDetail());
			default -> broken(done.getDetail());
		}
	}

	private void broken(String detail) {
		if (this.request.run().getRepeatable()) {
			next(ErrorCode.REQUEST_FAILED, detail);
		}
		else {
			fail(ErrorCode.REQUEST_OUTCOME_UNKNOWN, detail);
		}
	}

	private void answered() {
		this.path.metrics()
			.request(this.request.account().name(), "online")
			.record(System.nanoTime() - this.startNanos, TimeUnit.NANOSECONDS);
		this.ended = true;
		if (!this.routing.response().ended()) {
			this.routing.response().end();
		}
	}

	private void fail(ErrorCode code, String detail) {
		if (!this.ended) {
			this.ended = true;
			this.path.errors().write(this.routing, new RequestException(code, detail), OnlinePath.RETRY_AFTER);
		}
	}

	/**
	 * A caller that has gone away would hold its slot until the answer is whole.
	 */
	private void callerGone() {
		if (!this.ended) {
			this.ended = true;
			this.current.cancel(Lane.LANE_ONLINE, this.request.run().getRequest());
		}
	}

	/**
	 * One attempt; frames of an abandoned attempt are dropped.
	 */
	private final class Attempt implements Exchange {

		private final int number;

		private Attempt(int number) {
			this.number = number;
		}

		private void handOver(Runnable task) {
			OnlineExchange.this.context.runOnContext((ignored) -> {
				if (!OnlineExchange.this.ended && this.number == OnlineExchange.this.attempt) {
					task.run();
				}
			});
		}

		@Override
		public void output(Output output) {
			handOver(() -> OnlineExchange.this.output(output));
		}

		@Override
		public void done(Done done) {
			handOver(() -> OnlineExchange.this.done(done));
		}

		@Override
		public void lost() {
			handOver(() -> broken("the sidecar was lost"));
		}

	}

}
