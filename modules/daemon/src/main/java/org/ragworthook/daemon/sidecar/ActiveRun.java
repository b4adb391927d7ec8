package org.ragworthook.daemon.sidecar;

import java.util.Objects;

import com.google.protobuf.UnsafeByteOperations;
import org.ragworthook.daemon.engine.CallEnd;
import org.ragworthook.daemon.engine.CallOutput;
import org.ragworthook.daemon.engine.UpstreamCall;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.message.Done;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Load;
import org.ragworthook.wire.message.Outcome;
import org.ragworthook.wire.message.Output;
import org.ragworthook.wire.message.Run;

/**
 * A request that this sidecar holds, and the link on which its answer goes back.
 */
final class ActiveRun {

	private final Run run;

	private final Link link;

	private UpstreamCall call;

	private int offset;

	private boolean yielding;

	ActiveRun(Run run, Link link) {
		this.run = Objects.requireNonNull(run, "run is null");
		this.link = Objects.requireNonNull(link, "link is null");
	}

	/**
	 * Returns what tells this attempt from all others on its link.
	 * @return request and attempt
	 */
	String key() {
		return key(this.run.getRequest(), this.run.getAttempt());
	}

	static String key(String request, int attempt) {
		return request + "/" + attempt;
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

	boolean started() {
		return this.call != null;
	}

	void started(UpstreamCall newCall) {
		this.call = newCall;
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

	void output(CallOutput piece) {
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
	}

	void done(CallEnd end, Outcome outcome, Load load, int inFlight) {
		this.link.send(Frame.newBuilder()
			.setDone(Done.newBuilder()
				.setRequest(this.run.getRequest())
				.setAttempt(this.run.getAttempt())
				.setOutcome(outcome)
				.setDetail(end.detail())
				.setText(end.text())
				.setTokens(end.tokens())
				.setInFlight(inFlight)
				.setLoad(load))
			.build());
	}

	Outcome outcome(CallEnd end) {
		return switch (end.kind()) {
			case ANSWERED -> Outcome.OUTCOME_ANSWERED;
			case NOT_PASSED_ON -> Outcome.OUTCOME_NOT_PASSED_ON;
			case BROKEN -> Outcome.OUTCOME_BROKEN;
			case CANCELLED -> this.yielding ? Outcome.OUTCOME_YIELDED : Outcome.OUTCOME_CANCELLED;
		};
	}

}
