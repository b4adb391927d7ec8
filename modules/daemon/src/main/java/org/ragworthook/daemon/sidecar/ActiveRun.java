package org.ragworthook.daemon.sidecar;

import java.util.Objects;

import com.google.protobuf.UnsafeByteOperations;
import org.ragworthook.core.admission.Offer;
import org.ragworthook.core.admission.RunKey;
import org.ragworthook.core.admission.RunOutcome;
import org.ragworthook.daemon.engine.CallEnd;
import org.ragworthook.daemon.engine.CallOutput;
import org.ragworthook.daemon.engine.UpstreamCall;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.message.Done;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Outcome;
import org.ragworthook.wire.message.Output;
import org.ragworthook.wire.message.Run;

/**
 * A request that this sidecar holds, and the link on which its answer goes back.
 */
final class ActiveRun {

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private final Run run;

	private final Link link;

	private final long arrivedNanos;

	private UpstreamCall call;

	private int offset;

	private int status;

	private boolean yielding;

	ActiveRun(Run run, Link link, long arrivedNanos) {
		this.arrivedNanos = arrivedNanos;
		this.run = Objects.requireNonNull(run, "run is null");
		this.link = Objects.requireNonNull(link, "link is null");
	}

	/**
	 * Returns what tells this attempt from all others.
	 * @return sender, request and attempt
	 */
	RunKey key() {
		return RunKey.of(this.link.remote().instance() + "/" + this.run.getRequest(), this.run.getAttempt());
	}

	/**
	 * Returns when the request came.
	 * @return the ticker's reading
	 */
	long arrivedNanos() {
		return this.arrivedNanos;
	}

	/**
	 * Returns the request as the gate sees it.
	 * @return the offer
	 */
	Offer offer() {
		Offer offer = Offer.of(key());
		if (this.run.getDeadlineMillis() > 0) {
			offer = offer.withDeadline(this.arrivedNanos + this.run.getDeadlineMillis() * 1_000_000L);
		}
		if (this.run.getAlone()) {
			offer = offer.asExclusive();
		}
		return this.run.getRepeatable() ? offer : offer.notPreemptible();
	}

	Run run() {
		return this.run;
	}

	Link link() {
		return this.link;
	}

	boolean online() {
		return this.link.lane() == Lane.LANE_ONLINE;
	}

	/**
	 * Tells whether the upstream may have got the request.
	 * @return whether any of it was sent
	 */
	boolean passedOn() {
		return this.call != null && this.call.sent();
	}

	boolean started() {
		return this.call != null;
	}

	void started(UpstreamCall newCall) {
		this.call = newCall;
	}

	/**
	 * Stops to read the answer while the link has no room, so that this process does not
	 * keep what an engine sends faster than the link takes it.
	 */
	private void pauseUntilWritable() {
		if (this.link.open() && !this.link.writable()) {
			this.call.pause();
		}
	}

	/**
	 * Goes on to read the answer: the link has room again, or is lost.
	 */
	void resume() {
		if (this.call != null) {
			this.call.resume();
		}
	}

	void cancel() {
		if (this.call != null) {
			this.call.cancel();
		}
	}

	/**
	 * Cancels the call so that the engine's slot is free for another request; what was
	 * generated goes back with the outcome.
	 */
	void giveWay() {
		this.yielding = true;
		cancel();
	}

	boolean yielding() {
		return this.yielding;
	}

	void output(CallOutput piece) {
		this.status = piece.status();
		Output.Builder output = Output.newBuilder()
			.setRequest(this.run.getRequest())
			.setAttempt(this.run.getAttempt())
			.setOffset(this.offset)
			.setBody(UnsafeByteOperations.unsafeWrap(piece.body()))
			.setText(piece.text())
			.setTokens(piece.tokens());
		if (this.offset == 0 || !this.run.getStream()) {
			output.setStatus(piece.status()).setContentType(piece.contentType());
		}
		this.offset++;
		this.link.send(Frame.newBuilder().setOutput(output).build());
		pauseUntilWritable();
	}

	/**
	 * Tells whether any of the answer has come.
	 * @return whether a piece was sent back
	 */
	boolean answering() {
		return this.offset > 0;
	}

	void done(Done.Builder done) {
		this.link.send(Frame.newBuilder()
			.setDone(done.setRequest(this.run.getRequest()).setAttempt(this.run.getAttempt()))
			.build());
	}

	Outcome outcome(CallEnd end, boolean crashed) {
		return switch (end.kind()) {
			case ANSWERED -> Outcome.OUTCOME_ANSWERED;
			case NOT_PASSED_ON -> Outcome.OUTCOME_NOT_PASSED_ON;
			case BROKEN -> crashed ? Outcome.OUTCOME_CRASHED : Outcome.OUTCOME_BROKEN;
			case CANCELLED -> this.yielding ? Outcome.OUTCOME_YIELDED : Outcome.OUTCOME_CANCELLED;
		};
	}

	/**
	 * Returns what the gate learns from the end of the call.
	 * @param end how the call ended
	 * @return the ending
	 */
	RunOutcome ending(CallEnd end) {
		return switch (end.kind()) {
			case ANSWERED -> (this.status == TOO_MANY_REQUESTS || this.status == UNAVAILABLE) ? RunOutcome.OVERLOADED
					: RunOutcome.ANSWERED;
			case NOT_PASSED_ON, BROKEN -> RunOutcome.FAILED;
			case CANCELLED -> RunOutcome.CANCELLED;
		};
	}

}
