package org.ragworthook.daemon.batch;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import org.ragworthook.core.job.ItemOutcome;
import org.ragworthook.core.job.JobId;
import org.ragworthook.core.routing.Upstream;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.daemon.entry.AttemptListener;
import org.ragworthook.daemon.entry.Sidecar;
import org.ragworthook.wire.message.Done;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Output;

/**
 * One attempt at an item. Gathers the answer, which comes as a whole.
 */
final class ItemExchange implements AttemptListener {

	private static final int NOT_FOUND = 404;

	private final Sidecar sidecar;

	private final JobId job;

	private final String request;

	private final String model;

	private final Ticker ticker;

	private final CompletableFuture<ItemOutcome> outcome = new CompletableFuture<>();

	private ByteString body = ByteString.EMPTY;

	private int status;

	ItemExchange(Sidecar sidecar, JobId job, String request, String model, Ticker ticker) {
		this.sidecar = Objects.requireNonNull(sidecar, "sidecar is null");
		this.job = Objects.requireNonNull(job, "job is null");
		this.request = Objects.requireNonNull(request, "request is null");
		this.model = Objects.requireNonNull(model, "model is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
	}

	JobId job() {
		return this.job;
	}

	CompletableFuture<ItemOutcome> outcome() {
		return this.outcome;
	}

	void refused() {
		this.outcome.complete(new ItemOutcome.NotPassedOn(Duration.ZERO));
	}

	void callBack() {
		this.sidecar.cancel(Lane.LANE_BATCH, this.request);
	}

	@Override
	public void output(Output output) {
		if (output.getStatus() != 0) {
			this.status = output.getStatus();
		}
		this.body = this.body.concat(output.getBody());
	}

	@Override
	public void done(Done done) {
		this.outcome.complete(read(done));
	}

	private ItemOutcome read(Done done) {
		return switch (done.getOutcome()) {
			case OUTCOME_ANSWERED -> answered();
			case OUTCOME_NOT_PASSED_ON -> new ItemOutcome.NotPassedOn(Duration.ofMillis(done.getRetryAfterMillis()));
			case OUTCOME_YIELDED -> new ItemOutcome.Yielded(done.getText(), done.getTokens());
			case OUTCOME_CANCELLED -> new ItemOutcome.Cancelled();
			case OUTCOME_FENCED -> new ItemOutcome.Fenced();
			case OUTCOME_CRASHED -> new ItemOutcome.Crashed(done.getInFlight());
			default -> new ItemOutcome.Broken(done.getDetail());
		};
	}

	/**
	 * An engine from which a model was unloaded answers that it does not know it,
	 * quickly, so that it would get one item after the other. Taken for the items'
	 * answers, that would end a part of a job as failed which other engines could have
	 * run.
	 * @return the outcome
	 */
	private ItemOutcome answered() {
		if (this.status == NOT_FOUND && !this.model.isEmpty()) {
			this.sidecar.upstream()
				.modelMissing(this.model, this.ticker.nanos() + Upstream.MODEL_MISSING_TTL.toNanos());
			return new ItemOutcome.NotPassedOn(Duration.ZERO);
		}
		return new ItemOutcome.Answered(this.status, this.body.toStringUtf8());
	}

	@Override
	public void lost() {
		this.outcome.complete(new ItemOutcome.Broken("the link to the sidecar was lost"));
	}

}
