package org.ragworthook.daemon.engine;

/**
 * Takes what becomes of a call to the upstream, on the context of the client.
 */
public interface CallListener {

	/**
	 * A piece of the answer has come.
	 * @param piece the piece
	 */
	void output(CallOutput piece);

	/**
	 * The call has ended. Told once; no output comes after it.
	 * @param end how it ended
	 */
	void ended(CallEnd end);

}
