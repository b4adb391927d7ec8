package org.ragworthook.daemon.entry;

import org.ragworthook.wire.message.Done;
import org.ragworthook.wire.message.Output;

/**
 * Receives the output and the end of one attempt at a request. The methods are called one
 * at a time on the link's thread and must not block. {@code done} or {@code lost} is the
 * last call.
 */
public interface AttemptListener {

	/**
	 * Called when a part of the upstream's answer has been received.
	 * @param output the part
	 */
	void output(Output output);

	/**
	 * Called when the sidecar has reported the end of the attempt.
	 * @param done the outcome
	 */
	void done(Done done);

	/**
	 * Called when the link was lost before the sidecar reported the end of the attempt.
	 * The outcome is unknown.
	 */
	void lost();

}
