package org.ragworthook.daemon.entry;

import org.ragworthook.wire.message.Done;
import org.ragworthook.wire.message.Output;

/**
 * One attempt at a request, as its sidecar answers it. Calls come one at a time, on the
 * link's thread, which they must not block. {@code done} or {@code lost} is the last
 * call.
 */
public interface AttemptListener {

	/**
	 * A piece of the answer has come.
	 * @param output the piece
	 */
	void output(Output output);

	/**
	 * The sidecar tells how the attempt ended.
	 * @param done the outcome
	 */
	void done(Done done);

	/**
	 * The link was lost before the attempt ended; what became of it is not known.
	 */
	void lost();

}
